package control_test

import (
	"sync"
	"testing"

	"jacinthpaddle.example/fleet/process/control"
)

type total struct{ sum int }

type add struct{ amount int }

func (m add) Apply(state *total) { state.sum += m.amount }

type panicking struct{}

func (panicking) Apply(*total) { panic("broken") }

func TestThreadAppliesMessagesOneAtATime(t *testing.T) {
	thread := control.New(&total{}, func(value any) { t.Errorf("panic: %v", value) })
	defer thread.Stop()

	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1_000 {
				thread.Send(add{amount: 1})
			}
		})
	}
	group.Wait()

	got := control.Query(thread, func(state *total) int { return state.sum })
	if want := 8_000; got != want {
		t.Errorf("sum: got %d, want %d", got, want)
	}
}

func TestThreadReportsPanic(t *testing.T) {
	reported := make(chan any, 1)
	thread := control.New(&total{}, func(value any) { reported <- value })
	defer thread.Stop()

	thread.Send(panicking{})
	if got, want := <-reported, "broken"; got != want {
		t.Errorf("panic: got %v, want %v", got, want)
	}
}
