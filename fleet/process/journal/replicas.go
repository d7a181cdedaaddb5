package journal

import (
	"jacinthpaddle.example/fleet/process/ident"
)

// Replicas holds copies of the records of peers, and stores them for a peer that
// is lost. Storing the records of a peer that is only slow does no harm, since
// copies of an entry make one bill.
type Replicas struct {
	holders map[ident.Incarnation]*peerRecords
}

type peerRecords struct {
	records  []Record
	released int64
	segments int64
	next     *Segment
	writing  bool
}

// NewReplicas returns an empty custody.
func NewReplicas() *Replicas {
	return &Replicas{holders: make(map[ident.Incarnation]*peerRecords)}
}

// Add keeps the records of the copy and returns what to answer. Records that
// are already released are acknowledged and not kept.
func (r *Replicas) Add(message CopyRequest) CopyReply {
	held := r.holder(message.Holder)
	reply := CopyReply{Holder: message.Holder}
	for _, record := range message.Records {
		reply.Positions = append(reply.Positions, record.Position)
		if record.Position > held.released && !held.has(record.Position) {
			held.records = append(held.records, record)
		}
	}
	return reply
}

// Release drops records that their holder has stored.
func (r *Replicas) Release(message ReleaseNotice) {
	held := r.holder(message.Holder)
	held.released = max(held.released, message.UpTo)
	kept := held.records[:0]
	for _, record := range held.records {
		if record.Position > held.released {
			kept = append(kept, record)
		}
	}
	held.records = kept
}

// NextSegment returns the segment to store for a lost holder under its copy name, or
// nil if nothing of its journal is held or a write is under way. A segment
// whose write failed is returned again unchanged.
func (r *Replicas) NextSegment(holder ident.Incarnation) *Segment {
	held, ok := r.holders[holder]
	if !ok || held.writing || len(held.records) == 0 {
		return nil
	}
	if held.next == nil {
		held.segments++
		held.next = &Segment{
			Incarnation: holder,
			Segment:     held.segments,
			Entries:     compact(held.records[:min(len(held.records), MaxSegmentRecords)]),
		}
	}
	held.writing = true
	return held.next
}

// SegmentStored takes the result of storing a segment that Adopt returned.
func (r *Replicas) SegmentStored(holder ident.Incarnation, ok bool) {
	held, known := r.holders[holder]
	if !known || !held.writing {
		return
	}
	held.writing = false
	if !ok {
		return
	}
	stored := make(map[ident.Request]State)
	for _, entry := range held.next.Entries {
		stored[entry.Request] = entry.State
	}
	held.next = nil
	kept := held.records[:0]
	for _, record := range held.records {
		state, ok := stored[record.Entry.Request]
		if ok && (state == Final || record.Entry.State == Open) {
			continue
		}
		kept = append(kept, record)
	}
	held.records = kept
}

// Holders returns the incarnations of which records are held.
func (r *Replicas) Holders() []ident.Incarnation {
	var holders []ident.Incarnation
	for holder, held := range r.holders {
		if len(held.records) > 0 {
			holders = append(holders, holder)
		}
	}
	return holders
}

// Len returns how many records are held for all peers.
func (r *Replicas) Len() int {
	total := 0
	for _, held := range r.holders {
		total += len(held.records)
	}
	return total
}

func (r *Replicas) holder(name ident.Incarnation) *peerRecords {
	held, ok := r.holders[name]
	if !ok {
		held = &peerRecords{}
		r.holders[name] = held
	}
	return held
}

func (r *peerRecords) has(position int64) bool {
	for _, record := range r.records {
		if record.Position == position {
			return true
		}
	}
	return false
}
