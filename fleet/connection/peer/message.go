package peer

import (
	"reflect"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/vm"
)

// Message is the envelope of everything that routers tell each other. Exactly
// one of its bodies is set.
//
// From and To are empty on the wire between neighbours. To add a kind, add one
// pointer field: its cbor name is the name of the kind, and the tag
// droppable:"true" lets a slow link lose it.
type Message struct {
	From     ident.Incarnation `cbor:"from,omitempty"`
	To       ident.Incarnation `cbor:"to,omitempty"`
	Sequence int64             `cbor:"sequence"`
	Hops     int               `cbor:"hops,omitempty"`

	Hello     *Hello         `cbor:"hello,omitempty"`
	Heartbeat *Heartbeat     `cbor:"heartbeat,omitempty" droppable:"true"`
	Gossip    *member.Gossip `cbor:"gossip,omitempty" droppable:"true"`

	Generation *Generation `cbor:"generation,omitempty"`
	List       *List       `cbor:"list,omitempty"`

	Transfer *quota.Transfer `cbor:"transfer,omitempty"`
	Receipt  *quota.Receipt  `cbor:"receipt,omitempty"`
	Pull     *quota.Pull     `cbor:"pull,omitempty"`
	Raise    *quota.Raise    `cbor:"raise,omitempty"`
	Raised   *quota.Raised   `cbor:"raised,omitempty"`
	Freeze   *quota.Freeze   `cbor:"freeze,omitempty"`
	Frozen   *quota.Frozen   `cbor:"frozen,omitempty"`

	Copy     *journal.Copy     `cbor:"copy,omitempty"`
	Copied   *journal.Copied   `cbor:"copied,omitempty"`
	Released *journal.Released `cbor:"released,omitempty"`
}

// Generation tells the number of the generation in force, asks for one that is
// Wanted, or carries the whole of it in Content.
type Generation struct {
	Number  int64  `cbor:"number"`
	Wanted  bool   `cbor:"wanted,omitempty"`
	Content []byte `cbor:"content,omitempty"`
}

// List carries what changed in the platform's list of VMs, or asks for all of it if
// it is Wanted. Back says that the platform was away before.
type List struct {
	vm.Delta
	Recovered bool `cbor:"back,omitempty"`
	Wanted    bool `cbor:"wanted,omitempty"`
}

// Hello opens a link: the sender's own record and the digest of its view.
type Hello struct {
	Member member.Member `cbor:"member"`
	Digest uint64        `cbor:"digest"`
}

// Heartbeat shows that a link works. It carries the sender's load and the digest
// of its view.
type Heartbeat struct {
	Digest uint64      `cbor:"digest"`
	Load   member.Load `cbor:"load"`
}

// Kind names the body of a message by its cbor name.
type Kind string

// unknownKind counts messages whose body this version doesn't know.
const unknownKind Kind = "unknown"

// bodyKind describes one kind of message.
type bodyKind struct {
	kind      Kind
	field     int
	droppable bool
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
			kind:      Kind(name),
			field:     index,
			droppable: field.Tag.Get("droppable") == "true",
		})
	}
	return listed
}

// Kind returns the kind of the body that is set, or "unknown".
func (m Message) Kind() Kind {
	if set, ok := m.body(); ok {
		return set.kind
	}
	return unknownKind
}

func (m Message) body() (bodyKind, bool) {
	value := reflect.ValueOf(m)
	for _, candidate := range bodyKinds {
		if !value.Field(candidate.field).IsNil() {
			return candidate, true
		}
	}
	return bodyKind{}, false
}

func droppable(m Message) bool {
	set, ok := m.body()
	return !ok || set.droppable
}

// Codecs. Messages may carry fields that a newer version added, while the frames
// of the handshake may not.
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

// encode returns the frame of a message.
func encode(message Message) ([]byte, error) {
	frame, err := encoder.Marshal(message)
	return frame, errors.Trace(err)
}

// decode reads the frame of a message.
func decode(frame []byte) (Message, error) {
	var message Message
	if err := lenient.Unmarshal(frame, &message); err != nil {
		return Message{}, &FrameError{Frame: "message", Cause: err}
	}
	return message, nil
}
