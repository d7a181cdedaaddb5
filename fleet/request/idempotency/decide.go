package idempotency

import "jacinthpaddle.example/fleet/process/claim"

// Origin is who created an idempotency key.
type Origin string

// Origins of keys.
const (
	// OriginCaller is a key that the caller chose.
	OriginCaller Origin = "caller"
	// OriginSelf is a ticket that this process issued.
	OriginSelf Origin = "own"
	// OriginPeer is a ticket that another process issued.
	OriginPeer Origin = "other"
)

// CacheState is what the response cache of this process holds for a key.
type CacheState string

// States of the response cache for a key.
const (
	// CacheMiss means that the cache has no run for the key.
	CacheMiss CacheState = "absent"
	// CacheMatch means that the cache has a run of a request with the same content, in
	// progress or finished.
	CacheMatch CacheState = "same"
	// CacheMismatch means that the cache has a run of a request with other content.
	CacheMismatch CacheState = "different"
)

// TicketState is the state of a ticket that this process issued.
type TicketState string

// States of a ticket.
const (
	// TicketUnused means that no request was run with the ticket.
	TicketUnused TicketState = "unspent"
	// TicketUsed means that a request was run with the ticket, or is being run.
	TicketUsed TicketState = "has_run"
	// TicketTableFull means that the ticket is unused, but no further used tickets can
	// be remembered.
	TicketTableFull TicketState = "full"
)

// ClaimStatus is the relation of the stored claim to the request, or ClaimUnread or
// ClaimUnconfirmed while the relation is unknown.
type ClaimStatus = claim.Relation

// Values of ClaimStatus besides those of claim.Relation.
const (
	// ClaimUnread means that the claim was not read from the store yet.
	ClaimUnread ClaimStatus = "unread"
	// ClaimUnconfirmed means that the store did not confirm whether the claim was
	// acquired.
	ClaimUnconfirmed ClaimStatus = "unsettled"
)

// Inputs are what Decide bases the next step on.
type Inputs struct {
	Origin Origin
	// Forwarded reports whether the request was forwarded to this router by another
	// one.
	Forwarded bool
	Cache     CacheState
	// Ticket is set if Origin is OriginSelf.
	Ticket TicketState
	// Claim is set if Origin is OriginCaller.
	Claim ClaimStatus
	// HolderIsSelf reports whether this process holds the claim.
	HolderIsSelf bool
	// Stopping reports whether the process is stopping and starts no new runs.
	Stopping bool
}

// Step is the next step of a request with an idempotency key.
type Step string

// Steps of a request with an idempotency key.
const (
	// StepClaim acquires the claim of the key in the store; the next step is then
	// decided again.
	StepClaim Step = "claim"
	// StepRun dispatches the request.
	StepRun Step = "run"
	// StepFollow delivers the response of the cached run, also while it is in
	// progress.
	StepFollow Step = "follow"
	// StepReplay delivers the response that is stored in the claim.
	StepReplay Step = "replay"
	// StepForward forwards the request to the process that holds the claim or issued the
	// ticket.
	StepForward Step = "pass"
	// StepRefuseConflict refuses a request whose key was used for a request with other
	// content.
	StepRefuseConflict Step = "refuse_conflict"
	// StepRefuseTableFull refuses a request with a ticket whose use could not be
	// remembered.
	StepRefuseTableFull Step = "refuse_record"
	// StepRefuseUnconfirmed refuses a request because one with the same key may have run
	// before, which cannot be determined while the store is unavailable.
	StepRefuseUnconfirmed Step = "refuse_unsettled"
	// StepRefuseStopping refuses a request with an unused ticket because its issuer, this
	// process, is stopping.
	StepRefuseStopping Step = "refuse_stopping"
	// StepReportLost reports that the outcome of an earlier run can no longer be
	// determined.
	StepReportLost Step = "answer_lost"
)

// Decide returns the next step of a request.
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

// decideTicket returns the next step for a ticket of this process without a cached
// run.
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

// decideClaim returns the next step for a caller's key without a cached run. The key
// must be claimed before the request runs. A stopping process claims no keys. It reports
// the response as lost, since a request with the key may have run here and its cache
// entry may have been evicted.
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
	case claim.ResponseStored:
		return StepReplay
	case claim.AtHolder:
		return forwardOnce(inputs)
	default:
		return StepRefuseUnconfirmed
	}
}

// forwardOnce returns the step that forwards a request to the process that holds the
// claim or issued the ticket. The response is reported as lost if the request was
// forwarded before, or if this process holds the claim but has no cached run any more.
func forwardOnce(inputs Inputs) Step {
	if inputs.Forwarded || inputs.HolderIsSelf {
		return StepReportLost
	}
	return StepForward
}
