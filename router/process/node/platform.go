package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/page"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/generation"
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

// generationWatcher watches the generation pointer, the object in the store that names the
// active generation. In a large fleet only a few processes of each availability zone watch
// it. The others are notified by peers and read the pointer at each PointerInterval; they
// watch it themselves while no peer sends later versions of the list of VMs.
type generationWatcher struct {
	clock   clock.Clock
	objects store.Store
	thread  *Thread
	log     *event.Log
	// wait is the time that a watch may wait for a change.
	wait time.Duration
	// retry is the pause after a failure, and the interval at which waitForNextRead checks
	// the policy.
	retry  time.Duration
	policy ReadPolicy
	// digest is the digest of the last generation that was read.
	digest string
}

// run reads the pointer, then waits for it to change. After a failure it waits for the
// retry interval and reads the pointer again, since the watch may have missed a change.
func (w *generationWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := w.read(ctx)
		for err == nil && ctx.Err() == nil && w.policy.MustRead() {
			version, err = w.waitForChange(ctx, version)
		}
		if err != nil && ctx.Err() == nil {
			w.log.Emit(event.GenerationFailed, event.Cause(err))
			sleep(ctx, w.clock, w.retry)
			continue
		}
		w.waitForNextRead(ctx)
	}
}

// waitForNextRead waits for PointerInterval, or until the process must read the pointer
// itself.
func (w *generationWatcher) waitForNextRead(ctx context.Context) {
	end := w.clock.Now().Add(PointerInterval)
	for ctx.Err() == nil && !w.policy.MustRead() && w.clock.Now().Before(end) {
		sleep(ctx, w.clock, w.retry)
	}
}

func (w *generationWatcher) waitForChange(ctx context.Context, after store.Version) (store.Version, error) {
	changes, err := w.objects.Watch(ctx, generation.PointerName, after, w.wait)
	if err != nil {
		return 0, err
	}
	if len(changes.Changed) == 0 {
		return changes.Version, nil
	}
	if _, err := w.read(ctx); err != nil {
		return 0, err
	}
	return changes.Version, nil
}

func (w *generationWatcher) read(ctx context.Context) (store.Version, error) {
	pointer, err := generation.FetchPointer(ctx, w.objects)
	if err != nil {
		return 0, err
	}
	if pointer.Number == 0 || pointer.Digest == w.digest {
		return pointer.Version, nil
	}
	fetched, err := generation.FetchAt(ctx, w.objects, pointer)
	if err != nil {
		return 0, err
	}
	w.digest = pointer.Digest
	w.thread.Send(GenerationReceived{Generation: fetched})
	return pointer.Version, nil
}
