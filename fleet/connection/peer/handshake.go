package peer

import (
	"context"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/auth"
	"jacinthpaddle.example/fleet/process/ident"
)

// challenge is the dialer's first frame of the handshake.
type challenge struct {
	Incarnation ident.Incarnation `cbor:"incarnation"`
	Nonce       []byte            `cbor:"nonce"`
}

// challengeReply is the acceptor's frame of the handshake.
type challengeReply struct {
	Incarnation ident.Incarnation `cbor:"incarnation"`
	Nonce       []byte            `cbor:"nonce"`
	Proof       []byte            `cbor:"proof"`
}

// confirmation is the dialer's last frame of the handshake.
type confirmation struct {
	Proof []byte `cbor:"proof"`
}

// dialerHandshake authenticates both ends on the dialer's side and returns the
// incarnation of the acceptor. If the acceptor is this process, it returns its own
// incarnation with a SelfDialError, so that the dialer does not dial the address again.
func (h *Hub) dialerHandshake(ctx context.Context, conn *websocket.Conn, address string) (ident.Incarnation, error) {
	opening := challenge{Incarnation: h.self, Nonce: auth.NewNonce()}
	if err := h.writeHandshakeFrame(ctx, conn, opening); err != nil {
		return "", errors.Trace(err)
	}
	var reply challengeReply
	if err := h.readHandshakeFrame(ctx, conn, "challenge reply", &reply); err != nil {
		return "", errors.Trace(err)
	}
	if reply.Incarnation == h.self {
		return h.self, &SelfDialError{Address: address}
	}
	session := auth.Session{
		Dialer:        h.self,
		Acceptor:      reply.Incarnation,
		DialerNonce:   opening.Nonce,
		AcceptorNonce: reply.Nonce,
	}
	if err := session.Verify(h.settings.Secret, auth.Acceptor, reply.Proof); err != nil {
		return "", errors.Trace(err)
	}
	proof := session.Proof(h.settings.Secret, auth.Dialer)
	err := h.writeHandshakeFrame(ctx, conn, confirmation{Proof: proof})
	return reply.Incarnation, errors.Trace(err)
}

// acceptorHandshake authenticates both ends on the acceptor's side and returns the
// incarnation of the dialer.
func (h *Hub) acceptorHandshake(ctx context.Context, conn *websocket.Conn) (ident.Incarnation, error) {
	var opening challenge
	if err := h.readHandshakeFrame(ctx, conn, "challenge", &opening); err != nil {
		return "", errors.Trace(err)
	}
	session := auth.Session{
		Dialer:        opening.Incarnation,
		Acceptor:      h.self,
		DialerNonce:   opening.Nonce,
		AcceptorNonce: auth.NewNonce(),
	}
	reply := challengeReply{
		Incarnation: h.self,
		Nonce:       session.AcceptorNonce,
		Proof:       session.Proof(h.settings.Secret, auth.Acceptor),
	}
	if err := h.writeHandshakeFrame(ctx, conn, reply); err != nil {
		return "", errors.Trace(err)
	}
	var confirmed confirmation
	if err := h.readHandshakeFrame(ctx, conn, "confirmation", &confirmed); err != nil {
		return "", errors.Trace(err)
	}
	err := session.Verify(h.settings.Secret, auth.Dialer, confirmed.Proof)
	return opening.Incarnation, errors.Trace(err)
}

// writeHandshakeFrame encodes and writes a frame of the handshake.
func (h *Hub) writeHandshakeFrame(ctx context.Context, conn *websocket.Conn, frame any) error {
	encoded, err := encoder.Marshal(frame)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(conn.Write(ctx, websocket.MessageBinary, encoded))
}

// readHandshakeFrame reads a frame of the handshake, which must have no unknown fields.
// The name of the frame appears in errors.
func (h *Hub) readHandshakeFrame(ctx context.Context, conn *websocket.Conn, name string, frame any) error {
	_, encoded, err := conn.Read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if err := strict.Unmarshal(encoded, frame); err != nil {
		return &FrameError{Frame: name, Cause: err}
	}
	return nil
}

// sendHello writes the hello with the process's own record.
func (h *Hub) sendHello(ctx context.Context, conn *websocket.Conn) error {
	hello := *h.hello.Load()
	frame, err := encode(Message{Sequence: h.sequence.Add(1), Hello: &hello})
	if err != nil {
		return errors.Trace(err)
	}
	h.counters.sent("hello", len(frame))
	return errors.Trace(conn.Write(ctx, websocket.MessageBinary, frame))
}

// readHello reads the hello of the remote process. Its record must be that of the process
// that was authenticated by the handshake.
func (h *Hub) readHello(ctx context.Context, conn *websocket.Conn, remote ident.Incarnation) (Hello, error) {
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return Hello{}, errors.Trace(err)
	}
	message, err := decode(frame)
	if err != nil {
		return Hello{}, errors.Trace(err)
	}
	if message.Hello == nil || message.Hello.Member.Incarnation != remote {
		cause := errors.Errorf("not a hello of process %s", remote.Short())
		return Hello{}, &FrameError{Frame: "hello", Cause: cause}
	}
	h.counters.received("hello", len(frame))
	return *message.Hello, nil
}
