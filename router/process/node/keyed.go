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
	receive "jacinthpaddle.example/router/connection/forward"
)

// keyed are the parts that serve requests with an idempotency key.
type keyed struct {
	flow      *idempotency.Executor
	forwarder *forward.Client
}

// wireKeyed joins the parts that serve requests with an idempotency key.
func (n *Node) wireKeyed() {
	key := secret.Key(n.Settings.Fleet.Secret)
	n.keyed.flow = idempotency.New(idempotency.Deps{
		Self:     n.Self,
		Clock:    n.Clock,
		Log:      n.Log,
		Claims:   claim.NewClient(n.Clock, n.platform),
		Tickets:  idempotency.SecretVerifier{Secret: key},
		Limits:   idempotency.DefaultLimits(),
		Stopping: n.closed.Load,
	})
	book := &addresses{fleet: n.state.Members}
	n.keyed.forwarder = forward.NewClient(forward.Settings{Secret: key, Clock: n.Clock, Address: book.peer})
}

// forwarded serves the requests that other routers pass on.
func (n *Node) forwarded() http.Handler {
	return &receive.Handler{
		Self:         n.Self,
		Secret:       secret.Key(n.Settings.Fleet.Secret),
		Clock:        n.Clock,
		MaxBodyBytes: n.Settings.Limits.MaxBodyBytes,
		Next:         n.front.ForwardedHandler(),
	}
}

// inProgress returns the number of requests in progress. A run under a key counts also
// when its callers have gone.
func (n *Node) inProgress() int64 {
	return n.open.Load() + n.front.InProgress() + n.keyed.flow.InProgress()
}

// addresses finds processes in the view that the control thread left for traffic.
type addresses struct {
	fleet *atomic.Pointer[[]member.Member]
}

// peer returns the peer address of a process that is not known to have ended.
func (a *addresses) peer(holder ident.Incarnation) (string, bool) {
	members := a.fleet.Load()
	if members == nil {
		return "", false
	}
	for _, known := range *members {
		if known.Incarnation == holder {
			return known.PeerAddress, known.State != member.Gone
		}
	}
	return "", false
}
