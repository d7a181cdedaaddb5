package generation

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
)

// Names of the objects in the store.
const (
	// Prefix starts the name of every object of this package.
	Prefix = "generation/"
	// PointerName is the object that names the generation in force.
	PointerName = Prefix + "current"
	// ChunkPrefix starts the name of every chunk.
	ChunkPrefix = Prefix + "chunk/"
	// ChunkBytes is the size of all chunks but the last.
	ChunkBytes = 256 << 10
	// MaxBytes is the largest size of an encoded generation.
	MaxBytes = 64 << 20
)

// Pointer names the generation in force. Version is that of the object it was
// read from, and zero before the first generation.
type Pointer struct {
	Number      int64         `json:"number"`
	Digest      string        `json:"digest"`
	Predecessor string        `json:"predecessor"`
	Chunks      []string      `json:"chunks"`
	Version     store.Version `json:"-"`
}

// FetchPointer reads the pointer. Before the first generation it is zero.
func FetchPointer(ctx context.Context, objects store.Store) (Pointer, error) {
	object, err := objects.Get(ctx, PointerName)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return Pointer{}, nil
	}
	if err != nil {
		return Pointer{}, errors.Trace(err)
	}
	var pointer Pointer
	if err := json.Unmarshal(object.Value, &pointer); err != nil {
		return Pointer{}, errors.Annotate(err, PointerName)
	}
	pointer.Version = object.Version
	return pointer, nil
}

// Fetch reads the generation in force, or returns a NotFoundError.
func Fetch(ctx context.Context, objects store.Store) (Generation, error) {
	pointer, err := FetchPointer(ctx, objects)
	if err != nil {
		return Generation{}, errors.Trace(err)
	}
	if pointer.Number == 0 {
		return Generation{}, &store.NotFoundError{Name: PointerName}
	}
	return FetchAt(ctx, objects, pointer)
}

// FetchAt reads the generation that the pointer names and verifies its digest.
// That of a zero pointer is empty.
func FetchAt(ctx context.Context, objects store.Store, pointer Pointer) (Generation, error) {
	if pointer.Number == 0 {
		return Generation{}, nil
	}
	var encoded []byte
	for _, digest := range pointer.Chunks {
		chunk, err := fetchChunk(ctx, objects, digest)
		if err != nil {
			return Generation{}, errors.Trace(err)
		}
		encoded = append(encoded, chunk...)
	}
	set, err := decodeSet(PointerName, encoded, pointer.Digest)
	if err != nil {
		return Generation{}, errors.Trace(err)
	}
	return Generation{Number: pointer.Number, Digest: pointer.Digest, Set: set}, nil
}

func fetchChunk(ctx context.Context, objects store.Store, digest string) ([]byte, error) {
	name := ChunkPrefix + digest
	object, err := objects.Get(ctx, name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return object.Value, verify(name, object.Value, digest)
}

func (p Pointer) same(other Pointer) bool {
	return p.Number == other.Number && p.Digest == other.Digest && p.Predecessor == other.Predecessor
}

// succeededBy reports whether the other pointer was published on top of this
// one.
func (p Pointer) succeededBy(other Pointer) bool {
	return other.Number == p.Number+1 && other.Predecessor == p.Digest
}

// next returns the pointer that follows the base with the encoded set.
func next(base Pointer, encoded []byte) Pointer {
	pointer := Pointer{
		Number:      base.Number + 1,
		Digest:      digestOf(encoded),
		Predecessor: base.Digest,
		Version:     base.Version,
	}
	for chunk := range slices.Chunk(encoded, ChunkBytes) {
		pointer.Chunks = append(pointer.Chunks, digestOf(chunk))
	}
	return pointer
}

func differences(ctx context.Context, objects store.Store, from, to Pointer) ([]declaration.Difference, error) {
	before, err := FetchAt(ctx, objects, from)
	if err != nil {
		return nil, errors.Trace(err)
	}
	after, err := FetchAt(ctx, objects, to)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return declaration.Diff(before.Set, after.Set), nil
}
