package node

import (
	"context"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/generation"
)

// objectWatcher watches one object in the store. In a large fleet only a few processes of
// each availability zone watch it. The others are notified by peers and read the object at
// each PointerInterval; they watch it themselves while no peer sends later versions of the
// list of VMs.
type objectWatcher struct {
	clock   clock.Clock
	objects store.Store
	log     *event.Log
	// name is the name of the object.
	name string
	// failed is logged after a failure.
	failed event.Kind
	// wait is the time that a watch may wait for a change.
	wait time.Duration
	// retry is the pause after a failure, and the interval at which waitForNextRead checks
	// the policy.
	retry  time.Duration
	policy ReadPolicy
	// read reads the object, sends what changed to the control thread and returns the
	// version from which to watch.
	read func(ctx context.Context) (store.Version, error)
}

// run reads the object, then waits for it to change. After a failure it waits for the
// retry interval and reads the object again, since the watch may have missed a change.
func (w *objectWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := w.read(ctx)
		for err == nil && ctx.Err() == nil && w.policy.MustRead() {
			version, err = w.waitForChange(ctx, version)
		}
		if err != nil && ctx.Err() == nil {
			w.log.Emit(w.failed, event.Cause(err))
			sleep(ctx, w.clock, w.retry)
			continue
		}
		w.waitForNextRead(ctx)
	}
}

// waitForNextRead waits for PointerInterval, or until the process must read the object
// itself.
func (w *objectWatcher) waitForNextRead(ctx context.Context) {
	end := w.clock.Now().Add(PointerInterval)
	for ctx.Err() == nil && !w.policy.MustRead() && w.clock.Now().Before(end) {
		sleep(ctx, w.clock, w.retry)
	}
}

func (w *objectWatcher) waitForChange(ctx context.Context, after store.Version) (store.Version, error) {
	changes, err := w.objects.Watch(ctx, w.name, after, w.wait)
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

// newGenerationWatcher returns the watcher of the generation pointer, the object that names
// the active generation.
func (n *Node) newGenerationWatcher(policy ReadPolicy) *objectWatcher {
	reader := &GenerationReader{Objects: n.platform, Thread: n.thread, Log: n.Log, Active: n.state.ActiveNumber}
	return &objectWatcher{
		clock:   n.Clock,
		objects: n.platform,
		log:     n.Log,
		name:    generation.PointerName,
		failed:  event.GenerationFailed,
		wait:    n.Settings.Platform.GenerationWait(),
		retry:   n.Settings.Platform.WatchRetry,
		policy:  policy,
		read:    reader.Read,
	}
}

// GenerationReader reads the active generation from the store.
type GenerationReader struct {
	Objects store.Store
	Thread  *Thread
	Log     *event.Log
	// Active is the number of the generation that is active in this process. A reading is
	// compared with it, since peers send generations as well.
	Active *atomic.Int64
}

// Read reads the pointer and, if it names a generation after the active one, sends that to
// the control thread. It returns the version of the pointer.
func (r *GenerationReader) Read(ctx context.Context) (store.Version, error) {
	pointer, err := generation.FetchPointer(ctx, r.Objects)
	if err != nil {
		return 0, err
	}
	if active := r.Active.Load(); pointer.Number <= active {
		logSkippedGeneration(r.Log, pointer.Number, active, "")
		return pointer.Version, nil
	}
	fetched, err := generation.FetchAt(ctx, r.Objects, pointer)
	if err != nil {
		return 0, err
	}
	r.Thread.Send(GenerationReceived{Generation: fetched})
	return pointer.Version, nil
}
