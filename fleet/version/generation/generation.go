// Package generation publishes whole configurations and reads them back.
//
// A set is written as canonical JSON and split into chunks that are named by
// their digest and never change. One conditional update of the pointer then
// puts the generation in force. A reader sees the old generation or the new
// one, never a mixture. Chunks that no pointer names any more are not collected.
//
// # Usage
//
//	base, err := generation.Current(ctx, objects)
//	pointer, err := generation.Publish(ctx, objects, set, base)
//	var conflict *generation.ConflictError
//	if errors.As(err, &conflict) {
//		report(conflict.Differences)
//	}
//	held, err := generation.Fetch(ctx, objects)
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

// Generation is one published configuration. Digest is the hex form of the
// SHA-256 of the encoded set.
type Generation struct {
	Number int64
	Digest string
	Set    declaration.Set
}

// envelope is the form in which a generation passes between processes. Set is
// kept as it was written, so that its digest can be verified.
type envelope struct {
	Number int64           `json:"number"`
	Digest string          `json:"digest"`
	Set    json.RawMessage `json:"set"`
}

// New returns the generation of a set.
func New(number int64, set declaration.Set) (Generation, error) {
	encoded, err := encodeSet(set)
	if err != nil {
		return Generation{}, errors.Trace(err)
	}
	return Generation{Number: number, Digest: digestOf(encoded), Set: set}, nil
}

// Newer reports whether the offered generation replaces the held one. A lower
// number never does.
func Newer(held, offered Generation) bool {
	return offered.Number > held.Number
}

// Encode writes a generation so that it can be passed to a peer.
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

// compress makes the whole of a large set fit one frame between peers.
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

func expand(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Annotate(err, "generation")
	}
	value, err := io.ReadAll(io.LimitReader(reader, MaxBytes))
	return value, errors.Annotate(err, "generation")
}

// Decode reads a generation and verifies its digest.
func Decode(value []byte) (Generation, error) {
	expanded, err := expand(value)
	if err != nil {
		return Generation{}, err
	}
	var sealed envelope
	if err := json.Unmarshal(expanded, &sealed); err != nil {
		return Generation{}, errors.Annotate(err, "generation")
	}
	set, err := decodeSet("generation", sealed.Set, sealed.Digest)
	if err != nil {
		return Generation{}, errors.Trace(err)
	}
	return Generation{Number: sealed.Number, Digest: sealed.Digest, Set: set}, nil
}

func encodeSet(set declaration.Set) ([]byte, error) {
	encoded, err := json.Marshal(set)
	return encoded, errors.Annotate(err, "set")
}

func decodeSet(name string, encoded []byte, digest string) (declaration.Set, error) {
	if err := verify(name, encoded, digest); err != nil {
		return declaration.Set{}, errors.Trace(err)
	}
	var set declaration.Set
	if err := json.Unmarshal(encoded, &set); err != nil {
		return declaration.Set{}, errors.Annotate(err, name)
	}
	return set, nil
}

func verify(name string, content []byte, digest string) error {
	if got := digestOf(content); got != digest {
		return &DigestError{Name: name, Got: got, Want: digest}
	}
	return nil
}

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
