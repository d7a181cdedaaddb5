package generation

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
)

// maxWriteAttempts is the maximum number of attempts of a write whose outcome is unknown.
const maxWriteAttempts = 3

// Publish stores the set as the generation after the base and makes it the active one. The
// base must have been returned by FetchPointer before the set was validated against that
// generation. If the set is that of the base, Publish writes nothing and returns the base.
// If another generation was published since the base was read, Publish returns a
// *ConflictError.
func Publish(ctx context.Context, objects store.Store, set declaration.Set, base Pointer) (Pointer, error) {
	encoded, err := encodeSet(set)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	pointer := newPointer(base, encoded)
	if pointer.Digest == base.Digest {
		return base, nil
	}
	for chunk := range slices.Chunk(encoded, ChunkBytes) {
		if err := createChunk(ctx, objects, chunk); err != nil {
			return Pointer{}, errors.Trace(err)
		}
	}
	return writePointer(ctx, objects, pointer, base)
}

// createChunk stores the chunk. An existing object of that name has the same content,
// since the name contains the digest, so a create whose outcome is unknown can be retried.
func createChunk(ctx context.Context, objects store.Store, chunk []byte) error {
	name := ChunkPrefix + digestOf(chunk)
	var err error
	for range maxWriteAttempts {
		_, err = objects.Create(ctx, name, chunk)
		var exists *store.ConflictError
		if errors.As(err, &exists) {
			return nil
		}
		if !ambiguous(err) {
			return errors.Trace(err)
		}
	}
	return errors.Trace(err)
}

// writePointer makes the pointer the active one if the base still is. A write whose
// outcome is unknown is retried. If it was applied, the retry fails with a conflict, which
// resolveConflict recognizes as a conflict with the pointer itself.
func writePointer(ctx context.Context, objects store.Store, pointer, base Pointer) (Pointer, error) {
	value, err := json.Marshal(pointer)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	for range maxWriteAttempts {
		pointer.Version, err = createOrUpdatePointer(ctx, objects, base.Version, value)
		if err == nil {
			return pointer, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return resolveConflict(ctx, objects, pointer, base)
		}
		if !ambiguous(err) {
			return Pointer{}, errors.Trace(err)
		}
	}
	return Pointer{}, errors.Trace(err)
}

func createOrUpdatePointer(ctx context.Context, objects store.Store, version store.Version, value []byte) (store.Version, error) {
	if version == 0 {
		return objects.Create(ctx, PointerName, value)
	}
	return objects.Update(ctx, PointerName, version, value)
}

// resolveConflict reads the active pointer after a conflict. The write was applied if that
// pointer is the written one or its successor. Otherwise, resolveConflict returns a
// *ConflictError.
func resolveConflict(ctx context.Context, objects store.Store, pointer, base Pointer) (Pointer, error) {
	active, err := FetchPointer(ctx, objects)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	if pointer.sameGeneration(active) {
		return active, nil
	}
	if pointer.succeededBy(active) {
		return pointer, nil
	}
	changed, err := diffGenerations(ctx, objects, base, active)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	return Pointer{}, &ConflictError{Base: base, Current: active, Differences: changed}
}

// ambiguous reports whether the write that returned the error may have been applied.
func ambiguous(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}
