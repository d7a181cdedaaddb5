package node

import (
	"net/http"
	"sync/atomic"

	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/request/idempotency"
	"jacinthpaddle.example/router/connection/forwardserver"
)

// idempotencyComponents has the components that serve requests with an idempotency key.
type idempotencyComponents struct {
	executor  *idempotency.Executor
	forwarder *forward.Client
}

// setUpIdempotency creates and connects the components that serve requests with an
// idempotency key.
func (n *Node) setUpIdempotency() {
	key := secret.Key(n.Settings.Fleet.Secret)
	n.idempotency.executor = idempotency.New(idempotency.Deps{
		Self:     n.Self,
		Clock:    n.Clock,
		Log:      n.Log,
		Claims:   claim.NewClient(n.Clock, n.platform),
		Tickets:  idempotency.SecretVerifier{Secret: key},
		Limits:   idempotency.DefaultLimits(),
		Stopping: n.stopping.Load,
	})
	addresses := &peerAddresses{members: n.state.Members}
	n.idempotency.forwarder = forward.NewClient(forward.Settings{
		Secret:    key,
		Clock:     n.Clock,
		Address:   addresses.lookup,
		Region:    addresses.region,
		OwnRegion: n.Settings.VM.Region,
	})
}

// forwardedHandler returns the handler for requests that other routers forward.
func (n *Node) forwardedHandler() http.Handler {
	return &forwardserver.Handler{
		Self:   n.Self,
		Secret: secret.Key(n.Settings.Fleet.Secret),
		Clock:  n.Clock,
		Bodies: n.intake.bodies,
		Next:   n.frontend.ForwardedHandler(),
	}
}

// inProgress returns the number of requests in progress. A run of a request with an
// idempotency key also counts after all its callers disconnected.
func (n *Node) inProgress() int64 {
	return n.adapterRequests.Load() + n.frontend.InProgress() + n.idempotency.executor.InProgress()
}

// peerAddresses looks up peer addresses in the members that the control thread
// published. It is safe for concurrent use.
type peerAddresses struct {
	members *atomic.Pointer[[]member.Member]
}

// lookup returns the address of an incarnation's peer port. It returns false if the
// incarnation is unknown or has failed.
func (a *peerAddresses) lookup(incarnation ident.Incarnation) (string, bool) {
	peer, ok := a.member(incarnation)
	return peer.PeerAddress, ok && peer.State != member.Gone
}

// region returns the region of an incarnation, or an empty string if it is unknown.
func (a *peerAddresses) region(incarnation ident.Incarnation) string {
	peer, _ := a.member(incarnation)
	return peer.Region
}

func (a *peerAddresses) member(incarnation ident.Incarnation) (member.Member, bool) {
	members := a.members.Load()
	if members == nil {
		return member.Member{}, false
	}
	for _, peer := range *members {
		if peer.Incarnation == incarnation {
			return peer, true
		}
	}
	return member.Member{}, false
}
