package harness

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

// logTail is how much of a process's log a failed test prints.
const logTail = 4096

// Process is one running program. It is killed when its test ends.
type process struct {
	name    string
	Command *exec.Cmd
	log     buffer
	ended   chan struct{}
}

// buffer collects what a process writes.
type buffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (b *buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(data)
}

// String returns all that was written.
func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

// startProcess starts a program, which dies with the test binary.
func startProcess(t *testing.T, name, path string, args ...string) *process {
	t.Helper()
	started := &process{name: name, Command: exec.Command(path, args...), ended: make(chan struct{})}
	started.Command.Stdout = &started.log
	started.Command.Stderr = &started.log
	started.Command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.Command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = started.Command.Wait()
		close(started.ended)
	}()
	t.Cleanup(func() {
		started.Kill()
		if t.Failed() {
			content := started.log.String()
			t.Logf("log of %s:\n%s", name, content[max(0, len(content)-logTail):])
		}
	})
	return started
}

// Log returns what the process has written.
func (p *process) Log() string {
	return p.log.String()
}

// Signal sends the signal to a process that still runs.
func (p *process) Signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.Command.Process.Signal(signal)
	}
}

// Kill ends the process at once.
func (p *process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Terminate asks the process to end and waits until it has.
func (p *process) Terminate(t *testing.T, limit time.Duration) {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(limit):
		t.Errorf("%s: still runs %v after SIGTERM", p.name, limit)
		p.Kill()
	}
}
