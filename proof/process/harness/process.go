package harness

import (
	"bytes"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// logTailBytes is the length of the end of a process's log that a failed test
// prints.
const logTailBytes = 4096

// process is one running program. It is killed when its test ends.
type process struct {
	name    string
	Command *exec.Cmd
	log     buffer
	exited  chan struct{}
}

// buffer collects the output of a process and is safe for concurrent use.
type buffer struct {
	mu      sync.Mutex
	content bytes.Buffer
	closed  bool
}

// Write implements io.Writer.
func (b *buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	return b.content.Write(data)
}

// close makes all later writes fail.
func (b *buffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// String returns the whole output.
func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

// startProcess starts a program, which the kernel kills when the test binary exits.
func startProcess(t *testing.T, name, path string, args ...string) *process {
	t.Helper()
	started := &process{name: name, Command: exec.Command(path, args...), exited: make(chan struct{})}
	started.Command.Stdout = &started.log
	started.Command.Stderr = &started.log
	started.Command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.Command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = started.Command.Wait()
		close(started.exited)
	}()
	t.Cleanup(func() {
		started.Kill()
		if t.Failed() {
			content := started.log.String()
			t.Logf("log of %s:\n%s", name, content[max(0, len(content)-logTailBytes):])
		}
	})
	return started
}

// Log returns the output of the process so far.
func (p *process) Log() string {
	return p.log.String()
}

// AwaitLogged waits until the log of the process contains the text.
func (p *process) AwaitLogged(t *testing.T, text string) {
	t.Helper()
	Await(t, p.name+" to log "+text, func() bool { return strings.Contains(p.Log(), text) })
}

// CloseLog ends the reader of the output of the process.
func (p *process) CloseLog() {
	p.log.close()
}

// Signal sends the signal unless the process has exited.
func (p *process) Signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.Command.Process.Signal(signal)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Terminate sends SIGTERM and waits until the process has exited. After the limit it
// fails the test and kills the process.
func (p *process) Terminate(t *testing.T, limit time.Duration) {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(limit):
		t.Errorf("%s: still running %v after SIGTERM", p.name, limit)
		p.Kill()
	}
}

// SignalUntilExit sends the signals in turn until the process has exited. After the limit
// it fails the test and kills the process.
func (p *process) SignalUntilExit(t *testing.T, limit time.Duration, signals ...syscall.Signal) {
	t.Helper()
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	timeout := time.After(limit)
	for sent := 0; ; sent++ {
		p.Signal(signals[sent%len(signals)])
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		case <-timeout:
			t.Errorf("%s: still running after %v of signals", p.name, limit)
			p.Kill()
			return
		}
	}
}
