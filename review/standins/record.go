package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time since the
// start in seconds.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, buffer: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *recorder) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buffer, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.buffer, format, arguments...)
	_ = r.buffer.WriteByte('\n')
}

// say writes the line to the record and to standard output.
func (r *recorder) say(format string, arguments ...any) {
	r.printf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}
