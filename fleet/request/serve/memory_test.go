package serve_test

import (
	"bytes"
	"context"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
)

// heapBytes returns the bytes of the heap that are in use or not swept yet.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// TestBodiesWithoutEndStayInMemory guards against endpoints that send bytes without end in
// many responses at one time: each had a bound of its own, and 60 of them took 336 MB. The
// bound is the memory of the smallest VM in use.
func TestBodiesWithoutEndStayInMemory(t *testing.T) {
	const (
		requests = 60
		vmBytes  = 184 << 20
	)
	for _, contentType := range []string{"application/json", "text/event-stream"} {
		t.Run(contentType, func(t *testing.T) {
			content := bytes.Repeat([]byte("x"), 64<<10)
			made := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set("Content-Type", contentType)
				if request.URL.Path == "/sound" {
					_, _ = writer.Write([]byte("data: sound\n\n"))
					return
				}
				for {
					if _, err := writer.Write(content); err != nil {
						return
					}
				}
			})
			made.plan.Idempotent = false
			made.plan.Reserve = 0
			made.runner.Buffers = &buffer.Pool{Capacity: 64 << 20}
			run := func(path string) error {
				call := endpoint.Call{Method: http.MethodPost, Path: path, Header: http.Header{}}
				job := serve.Job{Request: "self-1", Plan: made.plan, Call: call, Relay: &serve.EventStream{MaxBytes: 16 << 20}}
				return made.runner.Run(context.Background(), job, &sink{})
			}
			runtime.GC()
			before := heapBytes()
			var group sync.WaitGroup
			var running, peak atomic.Int64
			running.Store(requests)
			for range requests {
				group.Go(func() {
					defer running.Add(-1)
					var failure *outcome.Error
					if err := run("/endless"); !errors.As(err, &failure) {
						t.Errorf("response without end: got %v, want an outcome", err)
					}
				})
			}
			group.Go(func() {
				for running.Load() > 0 {
					if err := run("/sound"); err != nil {
						t.Errorf("sound response beside them: got %v, want none", err)
					}
					peak.Store(max(peak.Load(), int64(heapBytes())-int64(before)))
				}
			})
			group.Wait()
			if got := peak.Load(); got > vmBytes {
				t.Errorf("memory: got %d MB, want at most %d MB", got>>20, vmBytes>>20)
			}
			if got := made.runner.Buffers.Used(); got != 0 {
				t.Errorf("used in the end: got %d bytes, want 0", got)
			}
		})
	}
}
