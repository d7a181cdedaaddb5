package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/page"
	"jacinthpaddle.example/fleet/process/store"
)

// ioWorker implements AsyncIO. Each operation on the store runs on a goroutine of its
// own, which sends the result to the control thread.
type ioWorker struct {
	*peer.Hub
	ctx     context.Context
	self    ident.Incarnation
	objects store.Store
	pages   page.Writer
	thread  *Thread
}

// UpdatePage implements AsyncIO.
func (w *ioWorker) UpdatePage(update PageUpdate) {
	go func() {
		object, changed, err := w.pages.Modify(w.ctx, update.CachedObject, update.Apply)
		w.thread.Send(PageUpdated{Update: update, Object: object, Page: changed, Err: err})
	}()
}

// StoreSegment implements AsyncIO.
func (w *ioWorker) StoreSegment(name string, segment journal.Segment, replicaOwner ident.Incarnation) {
	go func() {
		w.thread.Send(SegmentStored{Name: name, ReplicaOwner: replicaOwner, Err: w.storeSegment(name, segment)})
	}()
}

// storeSegment creates the object. An object that already exists was created by an
// earlier attempt of this process: names are not reused and a segment is never changed.
func (w *ioWorker) storeSegment(name string, segment journal.Segment) error {
	value, err := segment.Encode()
	if err != nil {
		return err
	}
	_, err = w.objects.Create(w.ctx, name, value)
	var exists *store.ConflictError
	if errors.As(err, &exists) {
		return nil
	}
	return err
}

// Send implements membership.Hub. A message to this process itself goes directly to the
// control thread.
func (w *ioWorker) Send(to ident.Incarnation, message peer.Message) error {
	if to != w.self {
		return w.Hub.Send(to, message)
	}
	message.From = w.self
	w.thread.Send(PeerMessage{Message: message})
	return nil
}

// every calls the function at each interval until the context ends.
func every(ctx context.Context, clk clock.Clock, interval time.Duration, call func()) {
	ticker := clk.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			call()
		case <-ctx.Done():
			return
		}
	}
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, clk clock.Clock, duration time.Duration) {
	timer := clk.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
