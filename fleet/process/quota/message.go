package quota

import (
	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// Transfer passes rights to a peer. Total is all that From ever passed to To in
// this budget, so that loss, repetition and reordering are harmless. It is also
// the answer to a TransferRequest, with an unchanged total if there is nothing to pass.
type Transfer struct {
	Budget string            `cbor:"budget"`
	From   ident.Incarnation `cbor:"from"`
	To     ident.Incarnation `cbor:"to"`
	Total  int64             `cbor:"total"`
}

// TransferAck confirms a Transfer. From is the receiver of the rights.
type TransferAck struct {
	Budget string            `cbor:"budget"`
	From   ident.Incarnation `cbor:"from"`
	To     ident.Incarnation `cbor:"to"`
	Total  int64             `cbor:"total"`
}

// TransferRequest asks a peer for rights: for Need if it has them and, as far as the shares
// by demand allow, for up to Request. Demand is the puller's, in credits a second.
type TransferRequest struct {
	Budget    string            `cbor:"budget"`
	From      ident.Incarnation `cbor:"from"`
	To        ident.Incarnation `cbor:"to"`
	Need      int64             `cbor:"need"`
	Preferred int64             `cbor:"want"`
	Demand    float64           `cbor:"demand"`
}

// CeilingRequest asks a guard to acknowledge a higher spend ceiling.
type CeilingRequest struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	Ceiling int64             `cbor:"ceiling"`
}

// CeilingReply answers a CeilingRequest with the ceiling that the guard has acknowledged.
// Refused says that the guard has frozen the holder.
type CeilingReply struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	Ceiling int64             `cbor:"ceiling"`
	Refused bool              `cbor:"refused"`
}

// FenceRequest asks a guard to refuse the holder any further raise, for good.
type FenceRequest struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	From    ident.Incarnation `cbor:"from"`
}

// FenceReply answers a FenceRequest with the last ceiling that the guard acknowledged.
type FenceReply struct {
	Budget  string            `cbor:"budget"`
	Holder  ident.Incarnation `cbor:"holder"`
	Witness ident.Incarnation `cbor:"guard"`
	To      ident.Incarnation `cbor:"to"`
	Ceiling int64             `cbor:"ceiling"`
}

// Actions is what the control thread is to do after a call: changes to try on
// account pages and messages to send. All of it may be lost or repeated.
type Actions struct {
	GrantRequests    []account.GrantRequest
	Refunds          []account.Refund
	Returns          []account.Return
	Transfers        []Transfer
	TransferAcks     []TransferAck
	TransferRequests []TransferRequest
	CeilingRequests  []CeilingRequest
}

// Add appends the other orders.
func (o *Actions) Add(other Actions) {
	o.GrantRequests = append(o.GrantRequests, other.GrantRequests...)
	o.Refunds = append(o.Refunds, other.Refunds...)
	o.Returns = append(o.Returns, other.Returns...)
	o.Transfers = append(o.Transfers, other.Transfers...)
	o.TransferAcks = append(o.TransferAcks, other.TransferAcks...)
	o.TransferRequests = append(o.TransferRequests, other.TransferRequests...)
	o.CeilingRequests = append(o.CeilingRequests, other.CeilingRequests...)
}

// Messages returns the number of messages to peers.
func (o *Actions) Messages() int {
	return len(o.Transfers) + len(o.TransferAcks) + len(o.TransferRequests) + len(o.CeilingRequests)
}
