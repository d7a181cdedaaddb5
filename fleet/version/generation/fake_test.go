package generation_test

import (
	"context"
	"time"

	"jacinthpaddle.example/fleet/process/store"
)

// fault is the way in which one write fails.
type fault string

const (
	// lostReply applies the write and returns an ambiguous error.
	lostReply fault = "lost reply"
	// lostWrite does not apply the write and returns an ambiguous error.
	lostWrite fault = "lost write"
	// down does not apply the write and returns an error that is not ambiguous.
	down fault = "down"
)

// fakeStore is an in-memory store in which one chosen write fails.
type fakeStore struct {
	objects  map[string]store.Object
	revision store.Version
	// countdown is the number of writes up to and including the failing one.
	countdown int
	fault     fault
	// afterFault runs after a write whose reply is lost.
	afterFault func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]store.Object)}
}

// failWrite makes the n-th write after the call fail.
func (f *fakeStore) failWrite(n int, with fault) {
	f.countdown = n
	f.fault = with
}

// damage changes the content of an object so that its digest no longer matches.
func (f *fakeStore) damage(name string) {
	object := f.objects[name]
	object.Value = append([]byte(" "), object.Value...)
	f.objects[name] = object
}

func (f *fakeStore) write(name string, version store.Version, value []byte) (store.Version, error) {
	f.countdown--
	failing := f.countdown == 0
	if failing && f.fault != lostReply {
		return 0, &store.UnavailableError{Operation: "write", Name: name, Ambiguous: f.fault != down}
	}
	if current := f.objects[name]; current.Version != version {
		return 0, &store.ConflictError{Name: name, Expected: version, Current: current.Version}
	}
	f.revision++
	f.objects[name] = store.Object{Name: name, Version: f.revision, Value: value}
	if failing {
		if f.afterFault != nil {
			f.afterFault()
		}
		return 0, &store.UnavailableError{Operation: "write", Name: name, Ambiguous: true}
	}
	return f.revision, nil
}

func (f *fakeStore) Get(_ context.Context, name string) (store.Object, error) {
	object, ok := f.objects[name]
	if !ok {
		return store.Object{}, &store.NotFoundError{Name: name}
	}
	return object, nil
}

func (f *fakeStore) Create(_ context.Context, name string, value []byte) (store.Version, error) {
	return f.write(name, 0, value)
}

func (f *fakeStore) Update(_ context.Context, name string, version store.Version, value []byte) (store.Version, error) {
	return f.write(name, version, value)
}

func (f *fakeStore) List(context.Context, string) ([]store.Change, error) { return nil, nil }

func (f *fakeStore) Delete(context.Context, string, store.Version) error { return nil }

func (f *fakeStore) Watch(context.Context, string, store.Version, time.Duration) (store.Changes, error) {
	return store.Changes{}, nil
}
