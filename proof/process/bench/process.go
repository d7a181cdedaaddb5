package bench

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// stopTimeout bounds the wait for a killed process to exit.
const stopTimeout = 5 * time.Second

// clockTick is the unit of CPU time in /proc/<pid>/stat (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/<pid>/stat that follow the program name: CPU time in
// user mode and in kernel mode.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// Process is a child process.
type Process struct {
	Name    string
	command *exec.Cmd
	exited  chan struct{}
}

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // user and kernel mode, since the process started
	ResidentBytes int64         // current resident set size
}

// startProcess starts a program with its output redirected to <name>.log in the folder.
// The kernel kills the process when the thread that started it ends.
func startProcess(folder, name, path string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = log.Close() }()
	started := &Process{Name: name, command: exec.Command(path, args...), exited: make(chan struct{})}
	started.command.Stdout = log
	started.command.Stderr = log
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "start %s", name)
	}
	go func() {
		_ = started.command.Wait()
		close(started.exited)
	}()
	return started, nil
}

// Stop kills the process and waits up to stopTimeout for it to exit.
func (p *Process) Stop() {
	_ = p.command.Process.Kill()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
	}
}

// Usage reads the resource usage from /proc. It fails once the process has exited.
func (p *Process) Usage() (Usage, error) {
	folder := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return Usage{}, errors.Annotate(err, p.Name)
	}
	statm, err := os.ReadFile(folder + "/statm")
	if err != nil {
		return Usage{}, errors.Annotate(err, p.Name)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	pages := strings.Fields(string(statm))
	ticks := parseNumber(fields[userTimeField]) + parseNumber(fields[systemTimeField])
	return Usage{
		CPUTime:       time.Duration(ticks) * clockTick,
		ResidentBytes: parseNumber(pages[1]) * int64(os.Getpagesize()),
	}, nil
}

func parseNumber(text string) int64 {
	value, _ := strconv.ParseInt(text, 10, 64)
	return value
}
