package quota

import (
	"slices"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/ident"
)

// WitnessKey identifies the allocation of one holder in one budget.
type WitnessKey struct {
	Budget string            `json:"budget"`
	Holder ident.Incarnation `json:"holder"`
}

// WitnessRecord is what a witness has acknowledged for one holder in one budget.
type WitnessRecord struct {
	// Ceiling is the highest ceiling acknowledged, in credits.
	Ceiling int64 `json:"ceiling"`
	// Fenced reports that the witness acknowledges no further ceiling.
	Fenced bool `json:"frozen"`
}

// Witness acknowledges the ceilings of other holders. Only the control thread uses it.
type Witness struct {
	// Records are never deleted: a witness that lost one would attest a ceiling below
	// the acknowledged one.
	Records map[WitnessKey]WitnessRecord
}

// NewWitness returns a witness without records.
func NewWitness() *Witness {
	return &Witness{Records: make(map[WitnessKey]WitnessRecord)}
}

// Acknowledge records a higher ceiling unless the holder is fenced.
func (w *Witness) Acknowledge(message CeilingRequest) CeilingReply {
	key := WitnessKey{Budget: message.Budget, Holder: message.Holder}
	record := w.Records[key]
	if !record.Fenced {
		record.Ceiling = max(record.Ceiling, message.Ceiling)
		w.Records[key] = record
	}
	return CeilingReply{
		Budget:  message.Budget,
		Holder:  message.Holder,
		Witness: message.Witness,
		Ceiling: record.Ceiling,
		Refused: record.Fenced,
	}
}

// Fence refuses the holder all further ceilings and attests the last one.
func (w *Witness) Fence(message FenceRequest) FenceReply {
	key := WitnessKey{Budget: message.Budget, Holder: message.Holder}
	record := w.Records[key]
	record.Fenced = true
	w.Records[key] = record
	return FenceReply{
		Budget:  message.Budget,
		Holder:  message.Holder,
		Witness: message.Witness,
		To:      message.From,
		Ceiling: record.Ceiling,
	}
}

// Budgets returns the sorted names of the budgets in which this process is a witness
// of the holder. Once the holder has failed, a Recovery is started for each.
func (w *Witness) Budgets(holder ident.Incarnation) []string {
	var budgets []string
	for key := range w.Records {
		if key.Holder == holder {
			budgets = append(budgets, key.Budget)
		}
	}
	slices.Sort(budgets)
	return budgets
}

// Recovery reclaims the unacknowledged quota of one failed holder in one budget.
type Recovery struct {
	Budget string
	Holder ident.Incarnation
	// Epoch is the number of the witness set that attests.
	Epoch     int64
	Witnesses []ident.Incarnation
	// AttestedCeilings holds the replies of the witnesses that have fenced the holder.
	AttestedCeilings map[ident.Incarnation]int64
}

// NewRecovery starts a recovery from the account record of the holder. It returns
// false if the record is closed or names too few witnesses.
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

// FenceRequests returns the requests to the witnesses that have not attested yet.
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

// HandleFenceReply records the ceiling that a witness attests. Replies about another
// allocation or from a process that is not a witness are ignored.
func (r *Recovery) HandleFenceReply(message FenceReply) {
	if message.Budget != r.Budget || message.Holder != r.Holder {
		return
	}
	if slices.Contains(r.Witnesses, message.Witness) {
		r.AttestedCeilings[message.Witness] = message.Ceiling
	}
}

// Reclaim returns the update to try on the account page. It returns false until all
// witnesses have attested.
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
