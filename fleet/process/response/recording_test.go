package response_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/response"
)

// readAll reads a recording to its end.
func readAll(ctx context.Context, recording *response.Recording) (string, error) {
	var read strings.Builder
	for delivered := 0; ; {
		progress, err := recording.Next(ctx, delivered)
		if err != nil {
			return "", err
		}
		for _, part := range progress.Parts {
			read.Write(part)
		}
		if progress.End != nil {
			return read.String(), nil
		}
		delivered += len(progress.Parts)
	}
}

func TestReadersGetWholeRecording(t *testing.T) {
	recording := response.NewRecording()
	results := make([]string, 4)
	var group sync.WaitGroup
	for index := range results {
		group.Go(func() { results[index], _ = readAll(t.Context(), recording) })
	}
	part := []byte("0")
	for range 10 {
		recording.Add(part)
		part[0]++
	}
	recording.End(response.Response{Status: 200})
	group.Wait()
	for _, got := range results {
		if want := "0123456789"; got != want {
			t.Errorf("read: got %q, want %q", got, want)
		}
	}
}

func TestOnlyFirstEndCounts(t *testing.T) {
	recording := response.NewRecording()
	recording.End(response.Response{Parts: [][]byte{[]byte("kept")}})
	again := recording.End(response.Response{Parts: [][]byte{[]byte("other")}})
	if got, _ := readAll(t.Context(), recording); got != "kept" || string(again.Parts[0]) != "kept" {
		t.Errorf("read: got %q and %q, want %q", got, again.Parts[0], "kept")
	}
}

func TestNextStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := readAll(ctx, response.NewRecording()); !errors.Is(err, context.Canceled) {
		t.Errorf("error: got %v, want %v", err, context.Canceled)
	}
}
