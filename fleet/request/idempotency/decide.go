package idempotency

import "jacinthpaddle.example/fleet/process/claim"

// Origin tells who made a key.
type Origin string

// Origins of keys.
const (
	// OriginCaller means that the caller made the key.
	OriginCaller Origin = "caller"
	// OriginSelf means that this process issued the key.
	OriginSelf Origin = "own"
	// OriginPeer means that another process issued the key.
	OriginPeer Origin = "other"
)

// CacheState tells what this process holds in memory for a key.
type CacheState string

// States of the memory.
const (
	// CacheMiss means that nothing is held.
	CacheMiss CacheState = "absent"
	// CacheMatch means that a run of the same request is held, in progress or ended.
	CacheMatch CacheState = "same"
	// CacheMismatch means that a run of a request with other content is held.
	CacheMismatch CacheState = "different"
)

// TicketState tells whether an issued key has run.
type TicketState string

// States of an issued key.
const (
	TicketUnused TicketState = "unspent"
	TicketUsed   TicketState = "has_run"
	// TicketTableFull means that no further keys can be remembered.
	TicketTableFull TicketState = "full"
)

// ClaimStatus tells what is known of a claim. Besides the meanings of a claim it
// is Unread or Unsettled.
type ClaimStatus = claim.Relation

// States of what is known of a claim.
const (
	// ClaimUnread means that the store was not asked yet.
	ClaimUnread ClaimStatus = "unread"
	// ClaimUnconfirmed means that the store gave no clear answer.
	ClaimUnconfirmed ClaimStatus = "unsettled"
)

// Inputs are what is known of a keyed request. Closed tells that nothing new may
// run at this process.
type Inputs struct {
	Origin       Origin
	Forwarded    bool
	Cache        CacheState
	Ticket       TicketState
	Claim        ClaimStatus
	HolderIsSelf bool
	Stopping     bool
}

// Step is what to do next with a keyed request.
type Step string

// Steps of a keyed request.
const (
	// StepClaim asks the store, and decides again.
	StepClaim Step = "claim"
	// StepRun dispatches the request.
	StepRun Step = "run"
	// StepFollow passes on the answer of the run in memory.
	StepFollow Step = "follow"
	// StepReplay passes on the answer that the claim carries.
	StepReplay Step = "replay"
	// StepForward hands the request to the process that holds the key.
	StepForward Step = "pass"
	// StepRefuseConflict refuses a key that was used for another request.
	StepRefuseConflict Step = "refuse_conflict"
	// StepRefuseTableFull refuses a request that cannot be recorded.
	StepRefuseTableFull Step = "refuse_record"
	// StepRefuseUnconfirmed refuses a request whose key may have run before, which
	// cannot be told while the store is away.
	StepRefuseUnconfirmed Step = "refuse_unsettled"
	// StepRefuseStopping refuses a ticket that has not run, since its issuer stops.
	StepRefuseStopping Step = "refuse_stopping"
	// StepReportLost answers that nobody can tell the outcome any more.
	StepReportLost Step = "answer_lost"
)

// Decide returns the next step.
func Decide(inputs Inputs) Step {
	switch {
	case inputs.Origin == OriginPeer:
		return forwardOnce(inputs)
	case inputs.Cache == CacheMismatch:
		return StepRefuseConflict
	case inputs.Cache == CacheMatch:
		return StepFollow
	case inputs.Origin == OriginSelf:
		return decideTicket(inputs)
	default:
		return decideClaim(inputs)
	}
}

func decideTicket(inputs Inputs) Step {
	switch {
	case inputs.Ticket == TicketUsed:
		return StepReportLost
	case inputs.Stopping:
		return StepRefuseStopping
	case inputs.Ticket == TicketTableFull:
		return StepRefuseTableFull
	default:
		return StepRun
	}
}

// decideClaim claims the key first. A process that stops claims nothing, and has
// forgotten what the key may have run.
func decideClaim(inputs Inputs) Step {
	switch inputs.Claim {
	case ClaimUnread:
		if inputs.Stopping {
			return StepReportLost
		}
		return StepClaim
	case claim.Owned:
		return StepRun
	case claim.Mismatch:
		return StepRefuseConflict
	case claim.Answered:
		return StepReplay
	case claim.AtHolder:
		return forwardOnce(inputs)
	default:
		return StepRefuseUnconfirmed
	}
}

// forwardOnce passes a request on unless it was passed on before or the holder is
// this process, which has forgotten it.
func forwardOnce(inputs Inputs) Step {
	if inputs.Forwarded || inputs.HolderIsSelf {
		return StepReportLost
	}
	return StepForward
}
