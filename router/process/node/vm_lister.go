package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
)

// DeliveryTime is the part of a bound that remains for sending a request to a VM that is
// about to be dropped.
const DeliveryTime = 200 * time.Millisecond

// VMLister reads the platform's list of VMs. The interval grows with the size of the
// fleet, so that all routers together stay within the rate limits of the platform. A
// process that does not watch the store reads the list only while no peer sends it.
type VMLister struct {
	Clock    clock.Clock
	VMs      vm.Lister
	Thread   Sender
	Log      *event.Log
	Interval time.Duration
	Members  *atomic.Pointer[[]member.Member]
	Policy   ReadPolicy
	// Outage records the failures of all calls of this process to the platform.
	Outage *Outage
	// ReturnGrace is how long VMs that are missing after an outage stay in use.
	ReturnGrace time.Duration
	// ListBound is how long a VM still serves after its removal from the list.
	ListBound time.Duration
	// unavailable reports whether the last reading failed.
	unavailable bool
	// readAt is when the platform replied to the last successful reading.
	readAt time.Time
}

// Sender sends messages to the control thread.
type Sender interface {
	Send(message control.Message[*State])
}

// Outage records whether the platform was unavailable to any call since the last reading
// of the list of VMs. It is safe for concurrent use.
type Outage struct {
	seen atomic.Bool
}

// Record records a failed call. Only a store that could not be reached was unavailable:
// other connections may work if one gave no reply, and a refusal is a reply.
func (o *Outage) Record(failure *store.UnavailableError) {
	if failure.Kind == store.Unreachable {
		o.seen.Store(true)
	}
}

// Take reports whether the platform was unavailable since the last call of Take.
func (o *Outage) Take() bool {
	return o.seen.Swap(false)
}

// Run reads the list until the context ends.
func (l *VMLister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.Policy.MustRead() || !l.Policy.Fresh() {
			l.Poll(ctx)
		}
		sleep(ctx, l.Clock, l.nextInterval())
	}
}

func (l *VMLister) nextInterval() time.Duration {
	members := l.Members.Load()
	if members == nil {
		return l.Interval
	}
	return scaledInterval(l.Interval, runningVMs(*members), RoutersPerListInterval)
}

// Poll reads the list once. A reading whose connection gave no reply is repeated at once
// over another connection.
func (l *VMLister) Poll(ctx context.Context) {
	list, err := l.VMs.VMs(ctx)
	silent := isNoReply(err)
	if silent {
		l.Log.Emit(event.PlatformSilent, event.Cause(err))
		list, err = l.VMs.VMs(ctx)
		if isNoReply(err) {
			l.Outage.seen.Store(true)
		}
	}
	if err != nil {
		if !l.unavailable {
			l.Log.Emit(event.PlatformUnavailable, event.Cause(err))
		}
		l.unavailable = true
		return
	}
	if l.unavailable {
		l.Log.Emit(event.PlatformAvailable)
	}
	outage := l.Outage.Take()
	l.Policy.ListVersioned.Store(list.Version > 0)
	l.Thread.Send(VMListRead{
		List:      list,
		Recovered: outage || silent || l.unavailable,
		RetainFor: l.retainFor(list, silent, outage),
	})
	l.unavailable = false
	l.readAt = list.ReadAt
}

// retainFor returns how long VMs that are missing from the list stay in use. After an outage
// that is the grace period, since entries expire during it. If a connection gave no reply,
// there may have been a short outage, or the VMs may have left: they stay in use for the
// time in which a VM that was removed just after the reading before still serves.
func (l *VMLister) retainFor(list vm.List, silent, outage bool) time.Duration {
	switch {
	case outage:
		return l.ReturnGrace
	case silent && !l.readAt.IsZero():
		return min(l.ReturnGrace, l.ListBound-DeliveryTime-list.ReadAt.Sub(l.readAt))
	default:
		return 0
	}
}

// isNoReply reports whether the connection of a call failed without a reply.
func isNoReply(err error) bool {
	var failure *store.UnavailableError
	return errors.As(err, &failure) && failure.Kind == store.NoReply
}
