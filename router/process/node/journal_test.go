package node_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/router/process/node"
)

// TestJournalIsBoundedByBytes guards against a router that runs out of memory because its
// records cannot be stored, although it does not wait until they are durable.
func TestJournalIsBoundedByBytes(t *testing.T) {
	settings := node.DefaultSettings()
	settings.VM.MemoryMB = 8
	router := startTestRouter(t, "self", settings)
	recorder := control.Query(router.thread, func(state *node.State) *node.Recorder {
		router.io.down = true
		return node.NewRecorder(router.thread, false, state.JournalFull)
	})
	id := strings.Repeat("i", 1000)
	record := func(number int, state journal.State) error {
		entry := journal.Entry{Request: ident.Request(fmt.Sprint(id, number)), State: state}
		write := recorder.Open
		if state == journal.Final {
			write = recorder.Close
		}
		err := write(t.Context(), entry)
		router.waitForMessages()
		return err
	}
	limit := settings.Resources().JournalBytes
	accepted := 0
	for accepted*len(id) <= 2*limit && record(accepted, journal.Open) == nil {
		accepted++
	}
	if got := accepted * len(id); got > limit {
		t.Errorf("records that wait: got %d bytes, want at most %d", got, limit)
	}
	if err := record(accepted, journal.Open); !errors.Is(err, node.ErrFull) {
		t.Errorf("new request: got %v, want ErrFull", err)
	}
	// The charge of a request that was accepted is recorded all the same.
	if err := record(0, journal.Final); err != nil {
		t.Errorf("final entry: got %v, want no error", err)
	}
	control.Query(router.thread, func(*node.State) bool {
		router.io.down = false
		return true
	})
	router.tick()
	if err := record(accepted+1, journal.Open); err != nil {
		t.Errorf("new request after the outage: got %v, want no error", err)
	}
	stored := control.Query(router.thread, func(*node.State) int {
		total := 0
		for _, segment := range router.io.segments {
			total += len(segment.Entries)
		}
		return total
	})
	if stored < accepted {
		t.Errorf("stored entries: got %d, want at least %d", stored, accepted)
	}
}
