package peer

import (
	"reflect"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quarantine"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/vm"
)

// Message is the envelope of all messages between routers. Exactly one of its bodies,
// the pointer fields, is set.
//
// To add a kind of message, add one pointer field: its cbor name is the name of the
// kind, and with the tag droppable:"true" a link with a full queue may drop it.
type Message struct {
	// From and To are empty on the wire if the message is not relayed; the receiving hub
	// fills them in.
	From ident.Incarnation `cbor:"from,omitempty"`
	To   ident.Incarnation `cbor:"to,omitempty"`
	// Sequence numbers the messages of the hub that sent the message first.
	Sequence int64 `cbor:"sequence"`
	// Hops is the number of times that the message was relayed.
	Hops int `cbor:"hops,omitempty"`

	Hello     *Hello         `cbor:"hello,omitempty"`
	Heartbeat *Heartbeat     `cbor:"heartbeat,omitempty" droppable:"true"`
	Gossip    *member.Gossip `cbor:"gossip,omitempty" droppable:"true"`

	Generation *Generation `cbor:"generation,omitempty"`
	VMList     *VMList     `cbor:"list,omitempty"`
	Prompts    *Prompts    `cbor:"prompts,omitempty"`

	Evacuations *evacuation.Reading `cbor:"evacuations,omitempty"`

	Transfer        *quota.Transfer        `cbor:"transfer,omitempty"`
	TransferAck     *quota.TransferAck     `cbor:"receipt,omitempty"`
	TransferRequest *quota.TransferRequest `cbor:"pull,omitempty"`
	CeilingRequest  *quota.CeilingRequest  `cbor:"raise,omitempty"`
	CeilingReply    *quota.CeilingReply    `cbor:"raised,omitempty"`
	FenceRequest    *quota.FenceRequest    `cbor:"freeze,omitempty"`
	FenceReply      *quota.FenceReply      `cbor:"frozen,omitempty"`

	CopyRequest   *journal.CopyRequest   `cbor:"copy,omitempty"`
	CopyReply     *journal.CopyReply     `cbor:"copied,omitempty"`
	ReleaseNotice *journal.ReleaseNotice `cbor:"released,omitempty"`
}

// Generation announces, requests or carries a generation of the configuration.
type Generation struct {
	// Number is the active generation of the sender, or the one that is requested.
	Number int64 `cbor:"number"`
	// Wanted marks a request for the generation.
	Wanted bool `cbor:"wanted,omitempty"`
	// Content is the whole encoded generation, or empty.
	Content []byte `cbor:"content,omitempty"`
}

// VMList carries a delta of the platform's list of VMs, or requests the whole list.
type VMList struct {
	vm.Delta
	// Recovered is whether calls to the platform failed before it returned this list.
	Recovered bool `cbor:"back,omitempty"`
	// RetainFor is how long VMs that are missing from this list stay in use.
	RetainFor time.Duration `cbor:"retain,omitempty"`
	// Wanted marks a request for the whole list.
	Wanted bool `cbor:"wanted,omitempty"`
	// Reader is the process that read the list from the platform, and Reading the number
	// of its reading. A later reading shows that the list is up to date even if its
	// version is still the same.
	Reader  ident.Incarnation `cbor:"reader,omitempty"`
	Reading int64             `cbor:"reading,omitempty"`
	// Evacuations is the sender's reading of the evacuated zones, or nil if it has none. It
	// repeats what was sent when the zones changed.
	Evacuations *evacuation.Reading `cbor:"evacuations,omitempty"`
}

// Prompts carries failed requests, and whole responses to requests with parts that were
// suspects.
type Prompts struct {
	Failures []quarantine.Failure `cbor:"failures,omitempty"`
	Whole    []quarantine.Whole   `cbor:"whole,omitempty"`
}

// Hello is the first message on a link. It carries the sender's own record and the digest
// of its view.
type Hello struct {
	Member member.Member `cbor:"member"`
	Digest uint64        `cbor:"digest"`
}

// Heartbeat is sent periodically to show that a link works. It carries the digest of the
// sender's view and the sender's load.
type Heartbeat struct {
	Digest uint64      `cbor:"digest"`
	Load   member.Load `cbor:"load"`
}

// Kind is the cbor name of the body of a message.
type Kind string

// unknownKind is the kind of messages without a body that this version supports.
const unknownKind Kind = "unknown"

// bodyKind describes one kind of message.
type bodyKind struct {
	kind Kind
	// fieldIndex is the index of the body's field in Message.
	fieldIndex int
	droppable  bool
}

var bodyKinds = listBodyKinds()

func listBodyKinds() []bodyKind {
	var listed []bodyKind
	envelope := reflect.TypeFor[Message]()
	for index := range envelope.NumField() {
		field := envelope.Field(index)
		if field.Type.Kind() != reflect.Pointer {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
		listed = append(listed, bodyKind{
			kind:       Kind(name),
			fieldIndex: index,
			droppable:  field.Tag.Get("droppable") == "true",
		})
	}
	return listed
}

// Kind returns the kind of the body that is set, or "unknown".
func (m Message) Kind() Kind {
	if found, ok := m.body(); ok {
		return found.kind
	}
	return unknownKind
}

// body returns the kind of the body that is set, and false if none is.
func (m Message) body() (bodyKind, bool) {
	value := reflect.ValueOf(m)
	for _, candidate := range bodyKinds {
		if !value.Field(candidate.fieldIndex).IsNil() {
			return candidate, true
		}
	}
	return bodyKind{}, false
}

// droppable reports whether a link with a full queue may drop the message, which includes
// messages of an unknown kind.
func droppable(m Message) bool {
	found, ok := m.body()
	return !ok || found.droppable
}

// Codecs. The decoder of messages ignores unknown fields, which a newer version may have
// added. The decoder of handshake frames rejects them.
var (
	encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	lenient = must(cbor.DecOptions{}.DecMode())
	strict  = must(cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns a message encoded as a frame.
func encode(message Message) ([]byte, error) {
	frame, err := encoder.Marshal(message)
	return frame, errors.Trace(err)
}

// decode returns the message in a frame, or a FrameError.
func decode(frame []byte) (Message, error) {
	var message Message
	if err := lenient.Unmarshal(frame, &message); err != nil {
		return Message{}, &FrameError{Frame: "message", Cause: err}
	}
	return message, nil
}
