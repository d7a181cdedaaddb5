// Package store is the contract with the platform's object store: versions,
// conditional updates and watches.
//
// Every write is absolute. A reply can be lost after the write took effect, so
// an error whose Ambiguous field is true leaves the caller to read back.
//
// # Usage
//
//	version, err := objects.Update(ctx, "account/7", held.Version, value)
//	var conflict *store.ConflictError
//	if errors.As(err, &conflict) {
//		held, err = objects.Get(ctx, "account/7")
//	}
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value of one object.
const MaxValueBytes = 1 << 20

// Version is the revision of the store at an object's last write. It only
// grows, over all objects. Zero means that the object does not exist.
type Version int64

// Object is one stored value.
type Object struct {
	Name    string
	Version Version
	Value   []byte
}

// Change names an object that was written or deleted.
type Change struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Changes is the answer to a watch: what changed under the prefix since the
// version that was asked for, and the version to ask from next.
type Changes struct {
	Version Version  `json:"version"`
	Changed []Change `json:"changed"`
}

// Store is the object API. Its methods are safe for concurrent use.
type Store interface {
	// Get returns one object, or a NotFoundError.
	Get(ctx context.Context, name string) (Object, error)
	// List returns name and version of each object under the prefix, by name.
	List(ctx context.Context, prefix string) ([]Change, error)
	// Create stores a new object, or returns a ConflictError if it exists.
	Create(ctx context.Context, name string, value []byte) (Version, error)
	// Update replaces the object if it still has the version, or returns a
	// ConflictError.
	Update(ctx context.Context, name string, version Version, value []byte) (Version, error)
	// Delete removes the object if it still has the version, or returns a
	// ConflictError.
	Delete(ctx context.Context, name string, version Version) error
	// Watch waits until something under the prefix changes after the version,
	// at most for the wait, and returns what changed, which can be nothing.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
}

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s: not found", e.Name)
}

// ConflictError says that an object's version was not the one expected.
type ConflictError struct {
	Name    string
	Want    Version
	Current Version
	// Value is that of the current version where the store sent it, or nil.
	Value []byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s: version is %d, expected %d", e.Name, e.Current, e.Want)
}

// UnavailableError says that the store gave no usable answer. Ambiguous is true
// for a write that may have taken effect.
type UnavailableError struct {
	Operation string
	Name      string
	Ambiguous bool
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
