package event_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/event"
)

// slow is an output that takes a line only when it is let.
type slow struct {
	mu    sync.Mutex
	let   chan struct{}
	lines []string
}

func (s *slow) Write(line []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, string(line))
	return len(line), nil
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &slow{let: make(chan struct{})}
	queue := event.NewAsyncWriter(out, 3)
	for range 100 {
		if _, err := queue.Write([]byte("line\n")); err != nil {
			t.Fatalf("write: got %v, want no error", err)
		}
	}
	// The writer holds one line besides those that are queued.
	if got := queue.Dropped(); got < 96 || got > 97 {
		t.Errorf("dropped: got %d, want 96 or 97", got)
	}
	close(out.let)
	queue.Flush(time.Minute)
	if got, want := int64(len(out.lines)), 100-queue.Dropped(); got != want {
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
		t.Error("the next second lets no line through")
	}
}
