package generation

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
)

// Names and sizes of the objects in the store.
const (
	// Prefix is the common prefix of the names of all objects of this package.
	Prefix = "generation/"
	// PointerName is the name of the object that holds the Pointer.
	PointerName = Prefix + "current"
	// ChunkPrefix is followed by the digest of the chunk.
	ChunkPrefix = Prefix + "chunk/"
	// ChunkBytes is the size of each chunk except the last one.
	ChunkBytes = 256 << 10
	// MaxBytes bounds the uncompressed size of a generation that Decode accepts.
	MaxBytes = 64 << 20
)

// Pointer identifies the active generation and its chunks.
type Pointer struct {
	// Number and Digest are those of the generation. Number is zero before the first
	// generation is published.
	Number int64  `json:"number"`
	Digest string `json:"digest"`
	// Predecessor is the digest of the preceding generation. It is empty for the first one.
	Predecessor string `json:"predecessor"`
	// Chunks are the digests of the chunks, in the order of the content.
	Chunks []string `json:"chunks"`
	// Version is the version of the pointer object in the store. It is zero if the object
	// does not exist.
	Version store.Version `json:"-"`
}

// FetchPointer reads the pointer from the store. It returns a zero Pointer before the
// first generation is published.
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

// Fetch reads the active generation from the store. It returns a *store.NotFoundError
// before the first generation is published.
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

// FetchAt reads the generation of the pointer from the store. It returns a *DigestError if
// the content is damaged, and an empty Generation for a zero pointer.
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
	return object.Value, verifyDigest(name, object.Value, digest)
}

// sameGeneration compares all fields that identify a generation, but not Version.
func (p Pointer) sameGeneration(other Pointer) bool {
	return p.Number == other.Number && p.Digest == other.Digest && p.Predecessor == other.Predecessor
}

// succeededBy reports whether the other generation is the one right after this one.
func (p Pointer) succeededBy(other Pointer) bool {
	return other.Number == p.Number+1 && other.Predecessor == p.Digest
}

// newPointer returns the pointer to the generation after the base, with the encoded set as
// its content.
func newPointer(base Pointer, encoded []byte) Pointer {
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

// diffGenerations reads both generations from the store and compares their sets.
func diffGenerations(ctx context.Context, objects store.Store, from, to Pointer) ([]declaration.Difference, error) {
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
