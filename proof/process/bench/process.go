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

// stopTimeout bounds the wait for a process that was told to stop.
const stopTimeout = 5 * time.Second

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/<pid>/stat after the name of the program.
const (
	userField   = 11
	systemField = 12
)

// Process is a running program.
type Process struct {
	Name    string
	command *exec.Cmd
	ended   chan struct{}
}

// Usage is what a process has used since it started. Resident is in bytes.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64
}

// startProcess starts a program that writes to a log in the folder.
func startProcess(folder, name, path string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = log.Close() }()
	started := &Process{Name: name, command: exec.Command(path, args...), ended: make(chan struct{})}
	started.command.Stdout = log
	started.command.Stderr = log
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "start %s", name)
	}
	go func() {
		_ = started.command.Wait()
		close(started.ended)
	}()
	return started, nil
}

// Stop kills the process and waits for its end.
func (p *Process) Stop() {
	_ = p.command.Process.Kill()
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
	}
}

// Usage reads what the process has used.
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
	ticks := number(fields[userField]) + number(fields[systemField])
	return Usage{
		CPUTime:       time.Duration(ticks) * clockTick,
		ResidentBytes: number(pages[1]) * int64(os.Getpagesize()),
	}, nil
}

func number(text string) int64 {
	value, _ := strconv.ParseInt(text, 10, 64)
	return value
}
