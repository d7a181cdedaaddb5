package generation_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
)

func setOf(purchased int64) declaration.Set {
	return declaration.Set{Budgets: []declaration.Budget{{Name: "hall", Purchased: purchased}}}
}

// large returns a set that is encoded to several chunks.
func large() declaration.Set {
	var set declaration.Set
	for i := range 15_000 {
		set.Budgets = append(set.Budgets, declaration.Budget{Name: fmt.Sprintf("budget-%d", i), Purchased: 1_000_000})
	}
	return set
}

func publish(t *testing.T, objects store.Store, set declaration.Set, base generation.Pointer) generation.Pointer {
	t.Helper()
	pointer, err := generation.Publish(context.Background(), objects, set, base)
	if err != nil {
		t.Fatalf("publish: got %v, want no error", err)
	}
	return pointer
}

func TestFetchReturnsWhatWasPublished(t *testing.T) {
	objects := newFakeStore()
	want := large()
	pointer := publish(t, objects, want, generation.Pointer{})
	if got, want := len(pointer.Chunks), 3; got != want {
		t.Errorf("chunks: got %d, want %d", got, want)
	}
	got, err := generation.Fetch(context.Background(), objects)
	if err != nil {
		t.Fatal(err)
	}
	if got.Number != 1 || got.Digest != pointer.Digest || !reflect.DeepEqual(got.Set, want) {
		t.Errorf("generation: got %d %s, want 1 %s with the same set", got.Number, got.Digest, pointer.Digest)
	}
}

func TestFetchRefusesDamagedChunk(t *testing.T) {
	objects := newFakeStore()
	pointer := publish(t, objects, setOf(1), generation.Pointer{})
	objects.damage(generation.ChunkPrefix + pointer.Chunks[0])
	_, err := generation.Fetch(context.Background(), objects)
	var damaged *generation.DigestError
	if !errors.As(err, &damaged) {
		t.Errorf("fetch: got %v, want a DigestError", err)
	}
}

func TestFetchBeforeFirstGeneration(t *testing.T) {
	_, err := generation.Fetch(context.Background(), newFakeStore())
	var missing *store.NotFoundError
	if !errors.As(err, &missing) {
		t.Errorf("fetch: got %v, want a NotFoundError", err)
	}
}

func TestConflictListsChangesOfTheOtherGeneration(t *testing.T) {
	objects := newFakeStore()
	base := publish(t, objects, setOf(1), generation.Pointer{})
	publish(t, objects, setOf(2), base)
	_, err := generation.Publish(context.Background(), objects, setOf(3), base)
	var conflict *generation.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("publish: got %v, want a ConflictError", err)
	}
	want := []declaration.Difference{
		{Kind: "budget", Name: "hall", Field: "purchased", Before: "1", After: "2"},
	}
	if !reflect.DeepEqual(conflict.Differences, want) {
		t.Errorf("differences: got %v, want %v", conflict.Differences, want)
	}
	active, err := generation.Fetch(context.Background(), objects)
	if err != nil || active.Number != 2 || !reflect.DeepEqual(active.Set, setOf(2)) {
		t.Errorf("active: got %+v and %v, want the second set", active, err)
	}
}

func TestPublishRetriesAmbiguousWrites(t *testing.T) {
	cases := map[string]struct {
		fault fault
		write int
	}{
		"chunk reply lost":   {lostReply, 1},
		"pointer reply lost": {lostReply, 2},
		"chunk write lost":   {lostWrite, 1},
		"pointer write lost": {lostWrite, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			objects := newFakeStore()
			base := publish(t, objects, setOf(1), generation.Pointer{})
			objects.failWrite(test.write, test.fault)
			pointer, err := generation.Publish(context.Background(), objects, setOf(2), base)
			active, fetchErr := generation.Fetch(context.Background(), objects)
			if fetchErr != nil {
				t.Fatal(fetchErr)
			}
			if err != nil || active.Number != 2 {
				t.Fatalf("publish: got %v and generation %d, want generation 2", err, active.Number)
			}
			if pointer.Digest != active.Digest {
				t.Errorf("digest: got %s, want %s", pointer.Digest, active.Digest)
			}
		})
	}
}

// TestLostReplyThenSuccessorIsNoConflict loses the reply to the write of the pointer and
// publishes another generation before the retry, which then fails with a conflict although
// the first write was applied.
func TestLostReplyThenSuccessorIsNoConflict(t *testing.T) {
	objects := newFakeStore()
	base := publish(t, objects, setOf(1), generation.Pointer{})
	objects.failWrite(2, lostReply)
	objects.afterFault = func() {
		active, err := generation.FetchPointer(context.Background(), objects)
		if err != nil {
			t.Fatal(err)
		}
		publish(t, objects, setOf(3), active)
	}
	pointer := publish(t, objects, setOf(2), base)
	if got, want := pointer.Number, int64(2); got != want {
		t.Errorf("number: got %d, want %d", got, want)
	}
}

func TestPublishSameSetChangesNothing(t *testing.T) {
	objects := newFakeStore()
	base := publish(t, objects, setOf(1), generation.Pointer{})
	again := publish(t, objects, setOf(1), base)
	if !reflect.DeepEqual(again, base) {
		t.Errorf("pointer: got %+v, want %+v", again, base)
	}
}

func TestPublishWithStoreDown(t *testing.T) {
	objects := newFakeStore()
	objects.failWrite(1, down)
	_, err := generation.Publish(context.Background(), objects, setOf(1), generation.Pointer{})
	var unavailable *store.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("publish: got %v, want an UnavailableError", err)
	}
}

func TestDecodeReturnsTheEncodedGeneration(t *testing.T) {
	want, err := generation.New(4, setOf(9))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := generation.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := generation.Decode(encoded)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("generation: got %+v and %v, want %+v", got, err, want)
	}
	tampered := repack(t, encoded, ":9}", ":8}")
	var damaged *generation.DigestError
	if _, err := generation.Decode(tampered); !errors.As(err, &damaged) {
		t.Errorf("tampered: got %v, want a DigestError", err)
	}
}

func TestNewerRequiresAHigherNumber(t *testing.T) {
	held := generation.Generation{Number: 5}
	for number, want := range map[int64]bool{4: false, 5: false, 6: true} {
		if got := generation.Newer(held, generation.Generation{Number: number}); got != want {
			t.Errorf("newer %d: got %t, want %t", number, got, want)
		}
	}
}

// repack replaces a part of the uncompressed content of an encoded generation.
func repack(t *testing.T, encoded []byte, from, to string) []byte {
	t.Helper()
	reader, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	var repacked bytes.Buffer
	writer := gzip.NewWriter(&repacked)
	if _, err := writer.Write(bytes.Replace(content, []byte(from), []byte(to), 1)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return repacked.Bytes()
}

// TestLargeSetFitsOneFrame encodes 15 000 budgets and 3 000 teams, the target size of a
// fleet. A generation is sent to a peer in one frame of at most 1 MiB.
func TestLargeSetFitsOneFrame(t *testing.T) {
	const frameBytes = 1 << 20
	var set declaration.Set
	for number := range 15_000 {
		name := fmt.Sprintf("budget-%d", number)
		set.Budgets = append(set.Budgets, declaration.Budget{Name: name, Purchased: int64(number) * 7919})
	}
	for number := range 3_000 {
		digest := sha256.Sum256([]byte(strconv.Itoa(number)))
		set.Teams = append(set.Teams, declaration.Team{
			Name:       fmt.Sprintf("team-%d", number),
			Budget:     fmt.Sprintf("budget-%d", number*5),
			KeyDigests: []string{hex.EncodeToString(digest[:])},
		})
	}
	large, err := generation.New(1, set)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := generation.Encode(large)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(encoded); got >= frameBytes {
		t.Errorf("size: got %d bytes, want less than %d", got, frameBytes)
	}
	t.Logf("encoded size: %d bytes", len(encoded))
}
