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
	pledge := g.Records[key]
	if !pledge.Fenced {
		pledge.Ceiling = max(pledge.Ceiling, message.Ceiling)
		g.Records[key] = pledge
	}
	return CeilingReply{
		Budget:  message.Budget,
		Holder:  message.Holder,
		Witness: message.Witness,
		Ceiling: pledge.Ceiling,
		Refused: pledge.Fenced,
	}
}

// FenceRequest stops all further raises of the holder and attests the ceiling.
func (g *Witness) Fence(message FenceRequest) FenceReply {
	key := WitnessKey{Budget: message.Budget, Holder: message.Holder}
	pledge := g.Records[key]
	pledge.Fenced = true
	g.Records[key] = pledge
	return FenceReply{
		Budget:  message.Budget,
		Holder:  message.Holder,
		Witness: message.Witness,
		To:      message.From,
		Ceiling: pledge.Ceiling,
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
	var freezes []FenceRequest
	for _, guard := range r.Witnesses {
		if _, ok := r.AttestedCeilings[guard]; ok {
			continue
		}
		freezes = append(freezes, FenceRequest{Budget: r.Budget, Holder: r.Holder, Witness: guard, From: self})
	}
	return freezes
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
	for _, guard := range r.Witnesses {
		ceiling, ok := r.AttestedCeilings[guard]
		if !ok {
			return account.Reclaim{}, false
		}
		reclaim.Ceiling = max(reclaim.Ceiling, ceiling)
	}
	return reclaim, true
}
