package journal

import (
	"slices"

	"jacinthpaddle.example/fleet/process/ident"
)

// Replicas holds copies of journal records that peers have not stored yet, and returns
// them in segments to store in place of a peer that has failed. Storing the records of
// a peer that is only slow does no harm, since copies of an entry result in one bill. It
// is used by the control thread only.
type Replicas struct {
	// MaxBytes is the size of all records at which no further one is kept. Zero is no bound.
	MaxBytes int
	// owners maps the peers to their records.
	owners map[ident.Incarnation]*peerRecords
	// bytes is the size of all records.
	bytes int
}

// peerRecords are the records of one peer.
type peerRecords struct {
	records []Record
	// released is the position up to which the peer has stored its records itself.
	released int64
	// segments is the number of segments that this process made for the failed peer.
	segments int64
	// next is the segment to store, kept unchanged until its write succeeds.
	next *Segment
	// writing reports whether next was returned and its result is outstanding.
	writing bool
}

// NewReplicas returns Replicas without records.
func NewReplicas() *Replicas {
	return &Replicas{owners: make(map[ident.Incarnation]*peerRecords)}
}

// Add adds the records of the message and returns the reply to it. Records that are
// already released are confirmed too, but not kept. One for which there is no room is not
// confirmed, so that its owner stores it.
func (r *Replicas) Add(message CopyRequest) CopyReply {
	held := r.recordsOf(message.Owner)
	reply := CopyReply{Owner: message.Owner}
	for _, record := range message.Records {
		if record.Position > held.released && !held.has(record.Position) {
			if r.full() {
				continue
			}
			held.records = append(held.records, record)
			r.bytes += record.Entry.EncodedBytes()
		}
		reply.Positions = append(reply.Positions, record.Position)
	}
	return reply
}

func (r *Replicas) full() bool {
	return r.MaxBytes > 0 && r.bytes >= r.MaxBytes
}

// Release drops records that their owner has stored.
func (r *Replicas) Release(message ReleaseNotice) {
	held := r.recordsOf(message.Owner)
	held.released = max(held.released, message.UpTo)
	r.drop(held, func(record Record) bool { return record.Position <= held.released })
}

// drop drops the records of the peer for which the condition holds.
func (r *Replicas) drop(held *peerRecords, condition func(Record) bool) {
	held.records = slices.DeleteFunc(held.records, func(record Record) bool {
		dropped := condition(record)
		if dropped {
			r.bytes -= record.Entry.EncodedBytes()
		}
		return dropped
	})
}

// NextSegment returns the segment to store under Segment.CopyName for a failed peer, or
// nil if none of its records are held or a write is in progress. A segment whose write
// failed is returned again unchanged.
func (r *Replicas) NextSegment(owner ident.Incarnation) *Segment {
	held, ok := r.owners[owner]
	if !ok || held.writing || len(held.records) == 0 {
		return nil
	}
	if held.next == nil {
		held.segments++
		held.next = &Segment{
			Incarnation: owner,
			Number:      held.segments,
			Entries:     compact(firstBatch(held.records, MaxSegmentRecords)),
		}
	}
	held.writing = true
	return held.next
}

// CompleteWrite handles the result of storing the segment that NextSegment returned:
// after a success it drops the stored records. A final record stays if only the open entry
// of its request was stored, since it can have been added after the segment was made.
func (r *Replicas) CompleteWrite(owner ident.Incarnation, ok bool) {
	held, known := r.owners[owner]
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
	r.drop(held, func(record Record) bool {
		state, ok := stored[record.Entry.Request]
		return ok && (state == Final || record.Entry.State == Open)
	})
}

// Owners returns the peers whose records are held, in no order.
func (r *Replicas) Owners() []ident.Incarnation {
	var owners []ident.Incarnation
	for owner, held := range r.owners {
		if len(held.records) > 0 {
			owners = append(owners, owner)
		}
	}
	return owners
}

// Len returns the number of records of all peers.
func (r *Replicas) Len() int {
	total := 0
	for _, held := range r.owners {
		total += len(held.records)
	}
	return total
}

func (r *Replicas) recordsOf(owner ident.Incarnation) *peerRecords {
	held, ok := r.owners[owner]
	if !ok {
		held = &peerRecords{}
		r.owners[owner] = held
	}
	return held
}

func (p *peerRecords) has(position int64) bool {
	for _, record := range p.records {
		if record.Position == position {
			return true
		}
	}
	return false
}
