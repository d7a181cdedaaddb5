// Package generation publishes complete configurations in the store and fetches them.
//
// A set is encoded as JSON, always in the same form, so that equal sets have equal digests.
// The JSON is split into immutable chunks, whose names are their SHA-256 digests. A
// conditional update of the pointer object then makes the new generation the active one, so
// a reader gets either the old generation or the new one as a whole. Chunks of earlier
// generations are never deleted.
//
// # Usage
//
//	base, err := generation.FetchPointer(ctx, objects)
//	pointer, err := generation.Publish(ctx, objects, set, base)
//	var conflict *generation.ConflictError
//	if errors.As(err, &conflict) {
//		report(conflict.Differences)
//	}
//	active, err := generation.Fetch(ctx, objects)
package generation

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/version/declaration"
)

// Generation is one published configuration.
type Generation struct {
	// Number is one for the first generation and increases by one with each.
	Number int64
	// Digest is the SHA-256 digest of the encoded set, in lower-case hex.
	Digest string
	Set    declaration.Set
}

// envelope is the JSON form of a generation that is sent to a peer.
type envelope struct {
	Number int64  `json:"number"`
	Digest string `json:"digest"`
	// Set is kept in its encoded form, over which the digest is computed.
	Set json.RawMessage `json:"set"`
}

// New returns a generation with the set and its digest.
func New(number int64, set declaration.Set) (Generation, error) {
	encoded, err := encodeSet(set)
	if err != nil {
		return Generation{}, errors.Trace(err)
	}
	return Generation{Number: number, Digest: digestOf(encoded), Set: set}, nil
}

// Newer reports whether the offered generation replaces the held one, which it does only if
// its number is higher.
func Newer(held, offered Generation) bool {
	return offered.Number > held.Number
}

// Encode encodes a generation as gzip-compressed JSON, to be sent to a peer.
func Encode(g Generation) ([]byte, error) {
	set, err := encodeSet(g.Set)
	if err != nil {
		return nil, errors.Trace(err)
	}
	value, err := json.Marshal(envelope{g.Number, g.Digest, set})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return compress(value)
}

// compress makes a large set fit into one frame between peers.
func compress(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return compressed.Bytes(), nil
}

// decompress returns at most MaxBytes. The content of a larger generation is truncated and
// is not valid JSON any more.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Annotate(err, "decompress generation")
	}
	value, err := io.ReadAll(io.LimitReader(reader, MaxBytes))
	return value, errors.Annotate(err, "decompress generation")
}

// Decode decodes the result of Encode. It returns a *DigestError if the set does not have
// the digest of the generation.
func Decode(value []byte) (Generation, error) {
	expanded, err := decompress(value)
	if err != nil {
		return Generation{}, err
	}
	var decoded envelope
	if err := json.Unmarshal(expanded, &decoded); err != nil {
		return Generation{}, errors.Annotate(err, "decode generation")
	}
	set, err := decodeSet("generation", decoded.Set, decoded.Digest)
	if err != nil {
		return Generation{}, errors.Trace(err)
	}
	return Generation{Number: decoded.Number, Digest: decoded.Digest, Set: set}, nil
}

func encodeSet(set declaration.Set) ([]byte, error) {
	encoded, err := json.Marshal(set)
	return encoded, errors.Annotate(err, "encode set")
}

func decodeSet(name string, encoded []byte, digest string) (declaration.Set, error) {
	if err := verifyDigest(name, encoded, digest); err != nil {
		return declaration.Set{}, errors.Trace(err)
	}
	var set declaration.Set
	if err := json.Unmarshal(encoded, &set); err != nil {
		return declaration.Set{}, errors.Annotate(err, name)
	}
	return set, nil
}

func verifyDigest(name string, content []byte, digest string) error {
	if got := digestOf(content); got != digest {
		return &DigestError{Name: name, Got: got, Want: digest}
	}
	return nil
}

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
