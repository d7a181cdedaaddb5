package generation

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
)

// publishTries bounds how often a write whose reply was lost is repeated.
const publishTries = 3

// Publish puts the set in force as the generation after the base, which Current
// returned before the set was checked against it. A set that is in force
// already is left alone. If another generation came first, Publish returns a
// ConflictError.
func Publish(ctx context.Context, objects store.Store, set declaration.Set, base Pointer) (Pointer, error) {
	encoded, err := encodeSet(set)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	pointer := next(base, encoded)
	if pointer.Digest == base.Digest {
		return base, nil
	}
	for chunk := range slices.Chunk(encoded, ChunkBytes) {
		if err := createChunk(ctx, objects, chunk); err != nil {
			return Pointer{}, errors.Trace(err)
		}
	}
	return putInForce(ctx, objects, pointer, base)
}

// createChunk stores the chunk. One that exists has the same content, since its
// name is its digest, so a create whose reply was lost can be repeated.
func createChunk(ctx context.Context, objects store.Store, chunk []byte) error {
	name := ChunkPrefix + digestOf(chunk)
	var err error
	for range publishTries {
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

// putInForce writes the pointer. An update whose reply was lost is repeated:
// if it took effect, the repetition meets a conflict with its own pointer.
func putInForce(ctx context.Context, objects store.Store, pointer, base Pointer) (Pointer, error) {
	value, err := json.Marshal(pointer)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	for range publishTries {
		pointer.Version, err = write(ctx, objects, base.Version, value)
		if err == nil {
			return pointer, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return settle(ctx, objects, pointer, base)
		}
		if !ambiguous(err) {
			return Pointer{}, errors.Trace(err)
		}
	}
	return Pointer{}, errors.Trace(err)
}

func write(ctx context.Context, objects store.Store, version store.Version, value []byte) (store.Version, error) {
	if version == 0 {
		return objects.Create(ctx, PointerName, value)
	}
	return objects.Update(ctx, PointerName, version, value)
}

// settle reads back what is in force after a conflict.
func settle(ctx context.Context, objects store.Store, pointer, base Pointer) (Pointer, error) {
	inForce, err := FetchPointer(ctx, objects)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	if pointer.same(inForce) {
		return inForce, nil
	}
	if pointer.succeededBy(inForce) {
		return pointer, nil
	}
	changed, err := differences(ctx, objects, base, inForce)
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	return Pointer{}, &ConflictError{Base: base, Current: inForce, Differences: changed}
}

func ambiguous(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}
