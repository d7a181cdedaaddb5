package endpoint_test

import (
	"context"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/standin/process/endpoint"
)

// admission holds the results of a call of Admit.
type admission struct {
	release func()
	err     error
}

// newFullEndpoint returns an endpoint whose only slot is occupied and whose queue
// has room for one request.
func newFullEndpoint(t *testing.T) (ep *endpoint.Endpoint, release func()) {
	t.Helper()
	ep = endpoint.New(clock.NewFake(), endpoint.Config{Slots: 1, QueueLimit: 1})
	release, err := ep.Admit(t.Context())
	if err != nil {
		t.Fatalf("admit: got %v, want no error", err)
	}
	return ep, release
}

// fillQueue sends two requests to a queue with room for one. It returns after one
// is refused as overloaded, so that the other is in the queue.
func fillQueue(ctx context.Context, t *testing.T, ep *endpoint.Endpoint) <-chan admission {
	t.Helper()
	results := make(chan admission, 2)
	for range 2 {
		go func() {
			release, err := ep.Admit(ctx)
			results <- admission{release, err}
		}()
	}
	if got := <-results; !errors.Is(got.err, endpoint.ErrOverloaded) {
		t.Fatalf("first result: got %v, want %v", got.err, endpoint.ErrOverloaded)
	}
	return results
}

func TestReleasedSlotPassesToTheQueue(t *testing.T) {
	ep, release := newFullEndpoint(t)
	waiting := fillQueue(t.Context(), t, ep)
	want := endpoint.Load{InFlight: 1, Waiting: 1, Slots: 1, State: endpoint.Live}
	if got := ep.Load(); got != want {
		t.Errorf("load: got %+v, want %+v", got, want)
	}
	release()
	if got := <-waiting; got.err != nil {
		t.Errorf("waiting request: got %v, want no error", got.err)
	}
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	ep, release := newFullEndpoint(t)
	ctx, cancel := context.WithCancel(t.Context())
	waiting := fillQueue(ctx, t, ep)
	cancel()
	if got := <-waiting; !errors.Is(got.err, context.Canceled) {
		t.Errorf("waiting request: got %v, want %v", got.err, context.Canceled)
	}
	next := fillQueue(t.Context(), t, ep)
	release()
	if got := <-next; got.err != nil {
		t.Errorf("next request: got %v, want no error", got.err)
	}
}

func TestLeavingKeepsAdmittedRequests(t *testing.T) {
	ep, release := newFullEndpoint(t)
	waiting := fillQueue(t.Context(), t, ep)
	ep.SetState(endpoint.Leaving)
	if _, err := ep.Admit(t.Context()); !errors.Is(err, endpoint.ErrLeaving) {
		t.Errorf("new request: got %v, want %v", err, endpoint.ErrLeaving)
	}
	release()
	if got := <-waiting; got.err != nil {
		t.Errorf("waiting request: got %v, want no error", got.err)
	}
}
