package quota

import (
	"slices"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// WitnessKey names one holder's rights in one budget.
type WitnessKey struct {
	Budget string            `json:"budget"`
	Holder ident.Incarnation `json:"holder"`
}

// WitnessRecord is what a guard has promised of one holder's rights: it acknowledged
// no ceiling above Ceiling and, once FenceReply, acknowledges no other.
type WitnessRecord struct {
	Ceiling int64 `json:"ceiling"`
	Fenced  bool  `json:"frozen"`
}

// Witness holds the pledges of this process. They are never dropped: a guard that
// forgot one would attest too little.
type Witness struct {
	Records map[WitnessKey]WitnessRecord
}

// NewWitness returns a guard without pledges.
func NewWitness() *Witness {
	return &Witness{Records: make(map[WitnessKey]WitnessRecord)}
}

// CeilingRequest acknowledges a higher ceiling unless the holder is frozen.
func (g *Witness) Acknowledge(message CeilingRequest) CeilingReply {
	key := WitnessKey{Budget: message.Budget, Holder: message.Holder}
	record := g.Records[key]
	if !record.Fenced {
		record.Ceiling = max(record.Ceiling, message.Ceiling)
		g.Records[key] = record
	}
	return CeilingReply{
		Budget:  message.Budget,
		Holder:  message.Holder,
		Witness: message.Witness,
		Ceiling: record.Ceiling,
		Refused: record.Fenced,
	}
}

// FenceRequest stops all further raises of the holder and attests the ceiling.
func (g *Witness) Fence(message FenceRequest) FenceReply {
	key := WitnessKey{Budget: message.Budget, Holder: message.Holder}
	record := g.Records[key]
	record.Fenced = true
	g.Records[key] = record
	return FenceReply{
		Budget:  message.Budget,
		Holder:  message.Holder,
		Witness: message.Witness,
		To:      message.From,
		Ceiling: record.Ceiling,
	}
}

// Budgets returns the budgets in which this process guards the holder, sorted.
// A guard that finds the holder lost starts a Recovery for each.
func (g *Witness) Budgets(holder ident.Incarnation) []string {
	var budgets []string
	for key := range g.Records {
		if key.Holder == holder {
			budgets = append(budgets, key.Budget)
		}
	}
	slices.Sort(budgets)
	return budgets
}

// Recovery reclaims the unspent rights of one lost holder in one budget.
type Recovery struct {
	Budget           string
	Holder           ident.Incarnation
	Epoch            int64
	Witnesses        []ident.Incarnation
	AttestedCeilings map[ident.Incarnation]int64
}

// NewRecovery starts from the holder's record. It reports false if the record
// cannot be reclaimed.
func NewRecovery(budget string, holder ident.Incarnation, record account.Holder) (*Recovery, bool) {
	recovery := &Recovery{
		Budget:           budget,
		Holder:           holder,
		Epoch:            record.Epoch,
		Witnesses:        slices.Clone(record.Witnesses),
		AttestedCeilings: make(map[ident.Incarnation]int64),
	}
	return recovery, !record.Closed && len(record.Witnesses) >= account.MinWitnesses
}

// FenceRequests returns the messages to the guards that have not attested yet.
func (r *Recovery) FenceRequests(self ident.Incarnation) []FenceRequest {
	var requests []FenceRequest
	for _, witness := range r.Witnesses {
		if _, ok := r.AttestedCeilings[witness]; ok {
			continue
		}
		requests = append(requests, FenceRequest{Budget: r.Budget, Holder: r.Holder, Witness: witness, From: self})
	}
	return requests
}

// FenceReply takes a guard's attestation.
func (r *Recovery) HandleFenceReply(message FenceReply) {
	if message.Budget != r.Budget || message.Holder != r.Holder {
		return
	}
	if slices.Contains(r.Witnesses, message.Witness) {
		r.AttestedCeilings[message.Witness] = message.Ceiling
	}
}

// Reclaim returns the change to try on the account page, and false until all
// guards have attested.
func (r *Recovery) Reclaim() (account.Reclaim, bool) {
	reclaim := account.Reclaim{Budget: r.Budget, Holder: r.Holder, Epoch: r.Epoch}
	for _, witness := range r.Witnesses {
		ceiling, ok := r.AttestedCeilings[witness]
		if !ok {
			return account.Reclaim{}, false
		}
		reclaim.Ceiling = max(reclaim.Ceiling, ceiling)
	}
	return reclaim, true
}
