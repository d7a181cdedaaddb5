// Package store defines the interface of the platform's object store, with versions,
// conditional writes and watches.
//
// A write replaces the whole value. Its reply can be lost after it took effect. After
// an UnavailableError whose field Ambiguous is true the caller has to read the object
// to learn whether the write was applied.
//
// # Usage
//
//	version, err := objects.Update(ctx, "account/7", object.Version, value)
//	var conflict *store.ConflictError
//	if errors.As(err, &conflict) {
//		object, err = objects.Get(ctx, "account/7")
//	}
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that an object may have.
const MaxValueBytes = 1 << 20

// Version is the revision that the store had after the last write of an object.
// Revisions increase with each write of any object. Zero means that the object does
// not exist.
type Version int64

// Object is one stored value.
type Object struct {
	Name    string
	Version Version
	Value   []byte
}

// Change is the last write or the deletion of an object.
type Change struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Changes is the result of a watch: the changes under the prefix after the given
// version, and the version from which the next watch continues.
type Changes struct {
	Version Version  `json:"version"`
	Changed []Change `json:"changed"`
}

// Store is the object store of the platform. Its methods are safe for concurrent use.
// They return an UnavailableError if the store gives no usable reply. Create and Update
// return a TooLargeError for a value larger than MaxValueBytes.
type Store interface {
	// Get returns one object, or a NotFoundError.
	Get(ctx context.Context, name string) (Object, error)
	// List returns name and version of each object under the prefix, sorted by name.
	List(ctx context.Context, prefix string) ([]Change, error)
	// Create stores a new object and returns its version, or a ConflictError if the
	// object exists.
	Create(ctx context.Context, name string, value []byte) (Version, error)
	// Update replaces the object if it still has the version and returns its new
	// version, or a ConflictError.
	Update(ctx context.Context, name string, version Version, value []byte) (Version, error)
	// Delete removes the object if it still has the version, or returns a
	// ConflictError.
	Delete(ctx context.Context, name string, version Version) error
	// Watch waits until an object under the prefix changes after the version, at most
	// for the wait, and returns the changes, which can be none.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
}

// NotFoundError is returned if the object does not exist.
type NotFoundError struct {
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s: not found", e.Name)
}

// ConflictError is returned if the version of an object is not the expected one.
type ConflictError struct {
	Name string
	// Expected is the version that the write required, 0 for a new object.
	Expected Version
	// Current is the version in the store. It is 0 if the object does not exist, and
	// also if the store did not return it.
	Current Version
	// Value is the current value, or nil if the store did not return it.
	Value []byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s: version is %d, expected %d", e.Name, e.Current, e.Expected)
}

// FailureKind is what a failed call shows about the store.
type FailureKind string

// Values of FailureKind.
const (
	// Unreachable means that no connection could be established, that a new one broke, or
	// that the store replied that it is not available.
	Unreachable FailureKind = "unreachable"
	// NoReply means that an established connection failed without a reply. The store may be
	// available over another one.
	NoReply FailureKind = "no_reply"
	// Refused means that the store refused the call, for example because of its rate limits.
	Refused FailureKind = "refused"
)

// UnavailableError is returned if the store gave no usable reply.
type UnavailableError struct {
	Operation string
	Name      string
	// Ambiguous is true for a write that may have taken effect.
	Ambiguous bool
	Kind      FailureKind
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s %s: ambiguous=%t: %v", e.Operation, e.Name, e.Ambiguous, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}
