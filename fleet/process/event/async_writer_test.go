package event_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/event"
)

// blockingWriter blocks each write until unblock is closed.
type blockingWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	lines   []string
}

func (s *blockingWriter) Write(line []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, string(line))
	return len(line), nil
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	writer := event.NewAsyncWriter(out, 3)
	for range 100 {
		if _, err := writer.Write([]byte("line\n")); err != nil {
			t.Fatalf("write: got %v, want no error", err)
		}
	}
	// Three lines are queued. The goroutine holds a fourth if it has already received
	// one.
	if got := writer.Dropped(); got < 96 || got > 97 {
		t.Errorf("dropped: got %d, want 96 or 97", got)
	}
	close(out.unblock)
	writer.Flush(time.Minute)
	if got, want := int64(len(out.lines)), 100-writer.Dropped(); got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
	if got := strings.Join(out.lines, ""); !strings.HasPrefix(got, "line\nline\n") {
		t.Errorf("content: got %q", got)
	}
}

func TestSamplerBoundsLines(t *testing.T) {
	sampler := event.NewSampler(2)
	now := time.Unix(0, 0)
	allowed := 0
	for range 10 {
		if sampler.Allow(now) {
			allowed++
		}
	}
	if allowed != 2 {
		t.Errorf("lines in one second: got %d, want 2", allowed)
	}
	if !sampler.Allow(now.Add(time.Second)) {
		t.Error("no line allowed in the next second")
	}
}
