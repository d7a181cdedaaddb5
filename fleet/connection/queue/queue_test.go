package queue_test

import (
	"slices"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/queue"
)

func even(item int) bool { return item%2 == 0 }

func TestPushDropsOldestDroppableItem(t *testing.T) {
	tests := []struct {
		name      string
		queued    []int
		item      int
		dropped   []int
		remaining []int
		full      bool
	}{
		{"room left", []int{1, 2}, 5, nil, []int{1, 2, 5}, false},
		{"oldest droppable is dropped", []int{1, 2, 4}, 5, []int{2}, []int{1, 4, 5}, false},
		{"droppable item is dropped itself", []int{1, 3, 5}, 6, []int{6}, []int{1, 3, 5}, false},
		{"nothing may be dropped", []int{1, 3, 5}, 7, nil, []int{1, 3, 5}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pending := queue.New(3, even)
			for _, item := range test.queued {
				_, _ = pending.Push(item)
			}
			dropped, err := pending.Push(test.item)
			var full *queue.FullError
			if got := errors.As(err, &full); got != test.full {
				t.Errorf("full: got %t, want %t", got, test.full)
			}
			if !slices.Equal(dropped, test.dropped) {
				t.Errorf("dropped: got %v, want %v", dropped, test.dropped)
			}
			<-pending.Ready()
			var remaining []int
			for item, ok := pending.Pop(); ok; item, ok = pending.Pop() {
				remaining = append(remaining, item)
			}
			if !slices.Equal(remaining, test.remaining) {
				t.Errorf("remaining: got %v, want %v", remaining, test.remaining)
			}
		})
	}
}
