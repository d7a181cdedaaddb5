package quota

import (
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// Transfer carries credits to a peer. It is also the reply to a TransferRequest, with
// an unchanged Total if there is nothing to transfer.
type Transfer struct {
	Budget string            `cbor:"budget"`
	From   ident.Incarnation `cbor:"from"`
	To     ident.Incarnation `cbor:"to"`
	// Total is the sum of all credits that From ever sent to To in this budget, so
	// that loss, repetition and reordering of messages are harmless.
	Total int64 `cbor:"total"`
	// Account is what the sender knows of the account, so that the receiver need not read
	// it. It is nil if the sender has not read the account.
	Account *AccountSummary `cbor:"account,omitempty"`
}

// AccountSummary is what a holder knows of the account of a budget.
type AccountSummary struct {
	// Remaining is what the account had left to grant.
	Remaining int64 `cbor:"remaining"`
	// Age is how long before the message the account was read.
	Age time.Duration `cbor:"age"`
	// Demand is the demand of all holders in credits a second.
	Demand float64 `cbor:"demand"`
	// SpendingHolders is the number of holders with any demand.
	SpendingHolders int `cbor:"spending"`
	// Lost is how many credits were written off with failed holders.
	Lost int64 `cbor:"lost"`
}

// TransferAck acknowledges a Transfer.
type TransferAck struct {
	Budget string `cbor:"budget"`
	// From is the receiver of the credits.
	From ident.Incarnation `cbor:"from"`
	To   ident.Incarnation `cbor:"to"`
	// Total is the highest total received.
	Total int64 `cbor:"total"`
}

// TransferRequest requests credits from a peer.
type TransferRequest struct {
	Budget string            `cbor:"budget"`
	From   ident.Incarnation `cbor:"from"`
	To     ident.Incarnation `cbor:"to"`
	// Need is how many credits the waiting requests lack. The peer sends as many of
	// them as it has, unless its own waiting requests have precedence.
	Need int64 `cbor:"need"`
	// ShareLimit bounds the share of the peer's credits, in proportion to the demand of
	// both, that the peer sends if that share is more than Need.
	ShareLimit int64 `cbor:"want"`
	// Demand is the demand of the sender in credits a second.
	Demand float64 `cbor:"demand"`
	// Reserve is how many credits the sender, which refills at the receiver, lacks of
	// those that it keeps ready.
	Reserve int64 `cbor:"reserve"`
	// Held is how many unspent credits the sender has. It is zero for a sender that keeps
	// none ready.
	Held int64 `cbor:"held"`
	// HeldOnly asks for credits that the receiver holds. Otherwise the receiver is the
	// supplier of the sender and requests a grant for those that it lacks.
	HeldOnly bool `cbor:"held_only"`
}

// CeilingRequest requests a witness to acknowledge a higher ceiling of the holder.
type CeilingRequest struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	Ceiling int64             `cbor:"ceiling"`
}

// CeilingReply is the reply to a CeilingRequest.
type CeilingReply struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	// Ceiling is the highest ceiling that the witness has acknowledged.
	Ceiling int64 `cbor:"ceiling"`
	// Refused reports that the witness has fenced the holder.
	Refused bool `cbor:"refused"`
}

// FenceRequest requests a witness to refuse the holder any further ceiling,
// permanently.
type FenceRequest struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	// From is the process that recovers the quota of the holder.
	From ident.Incarnation `cbor:"from"`
}

// FenceReply is the reply to a FenceRequest.
type FenceReply struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	// To is the sender of the FenceRequest.
	To ident.Incarnation `cbor:"to"`
	// Ceiling is the last ceiling that the witness acknowledged.
	Ceiling int64 `cbor:"ceiling"`
}

// Actions lists what the caller of a Manager is to do: updates to apply to the account
// pages in the store and messages to send to peers. Any of it may be lost or repeated.
type Actions struct {
	GrantRequests    []account.GrantRequest
	Refunds          []account.Refund
	Returns          []account.Return
	Transfers        []Transfer
	TransferAcks     []TransferAck
	TransferRequests []TransferRequest
	CeilingRequests  []CeilingRequest
}

// Add appends the other actions.
func (a *Actions) Add(other Actions) {
	a.GrantRequests = append(a.GrantRequests, other.GrantRequests...)
	a.Refunds = append(a.Refunds, other.Refunds...)
	a.Returns = append(a.Returns, other.Returns...)
	a.Transfers = append(a.Transfers, other.Transfers...)
	a.TransferAcks = append(a.TransferAcks, other.TransferAcks...)
	a.TransferRequests = append(a.TransferRequests, other.TransferRequests...)
	a.CeilingRequests = append(a.CeilingRequests, other.CeilingRequests...)
}

// Messages returns the number of messages to peers.
func (a *Actions) Messages() int {
	return len(a.Transfers) + len(a.TransferAcks) + len(a.TransferRequests) + len(a.CeilingRequests)
}
