package journal

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// Record is an entry with its position in the journal of one incarnation. A
// record is never changed, and positions are not reused.
type Record struct {
	Position int64 `json:"position" cbor:"position"`
	Entry    Entry `json:"entry" cbor:"entry"`
}

// CopyRequest asks a peer to hold records until they are stored.
type CopyRequest struct {
	Holder  ident.Incarnation `cbor:"holder"`
	Records []Record          `cbor:"records"`
}

// CopyReply tells the holder which records the peer holds.
type CopyReply struct {
	Holder    ident.Incarnation `cbor:"holder"`
	Positions []int64           `cbor:"positions"`
}

// ReleaseNotice tells a peer that all records up to a position are stored.
type ReleaseNotice struct {
	Holder ident.Incarnation `cbor:"holder"`
	UpTo   int64             `cbor:"up_to"`
}

// Bounds that keep a message in one frame and a segment in one object.
const (
	// MaxCopyRecords is how many records one Copy carries.
	MaxCopyRecords = 500
	// MaxSegmentRecords is how many records one segment is made of.
	MaxSegmentRecords = 1500
)

// Addressed is a message for one peer.
type Addressed[T any] struct {
	To   ident.Incarnation
	Body T
}

// Effects are what the keeper wants done, in no order. Safe lists positions
// that can no longer be lost with this process.
type Effects struct {
	Write    *Segment
	Copies   []Addressed[CopyRequest]
	Releases []Addressed[ReleaseNotice]
	Durable  []int64
}

// Config sets how a keeper works. Copies is how many peers must hold a record
// before it is safe without the store, and CopyTimeout how long they have before
// it is stored instead.
type Config struct {
	RequiredCopies int
	CopyTimeout    time.Duration
	FlushInterval  time.Duration
	RetryInterval  time.Duration
	MaxPending     int
}

// DefaultConfig returns the settings of a small fleet.
func DefaultConfig() Config {
	return Config{
		RequiredCopies: 2,
		CopyTimeout:    200 * time.Millisecond,
		FlushInterval:  time.Second,
		RetryInterval:  500 * time.Millisecond,
		MaxPending:     200_000,
	}
}

type pending struct {
	record Record
	since  time.Time
	copied []ident.Incarnation
	safe   bool
}

// Buffer decides how the records of this process become safe: with enough
// peers by copies, which are stored in batches later, else by storing them at
// once. It belongs to the control thread and does no I/O.
type Buffer struct {
	config   Config
	self     ident.Incarnation
	peers    []ident.Incarnation
	pending  []*pending
	position int64
	segment  int64
	writing  *Segment
	writeEnd int64
	failed   bool
	flushAt  time.Time
	effects  Effects
}

// NewBuffer returns the keeper of one incarnation.
func NewBuffer(config Config, self ident.Incarnation) *Buffer {
	return &Buffer{config: config, self: self}
}

// Append takes an entry and returns its position. A refusable entry is refused
// when the keeper holds its maximum of records.
func (k *Buffer) Append(now time.Time, entry Entry, refusable bool) (int64, bool) {
	if refusable && len(k.pending) >= k.config.MaxPending {
		return 0, false
	}
	k.position++
	added := &pending{record: Record{Position: k.position, Entry: entry}, since: now}
	k.pending = append(k.pending, added)
	for _, guard := range k.guards() {
		k.copyTo(guard, []Record{added.record})
	}
	k.flush(now)
	return k.position, true
}

// SetPeers tells which peers can be reached, in order of preference. Records
// that are not stored yet are copied to peers that become guards.
func (k *Buffer) SetPeers(now time.Time, peers []ident.Incarnation) {
	before := k.guards()
	k.peers = peers
	for _, guard := range k.guards() {
		if slices.Contains(before, guard) {
			continue
		}
		k.copyTo(guard, k.unstored())
	}
	k.flush(now)
}

// SetFlushInterval changes the time between stored batches.
func (k *Buffer) SetFlushInterval(interval time.Duration) {
	k.config.FlushInterval = interval
}

// CopyReply takes a peer's word that it holds records.
func (k *Buffer) ConfirmCopies(peer ident.Incarnation, message CopyReply) {
	for _, position := range message.Positions {
		index, found := slices.BinarySearchFunc(k.pending, position, byPosition)
		if found {
			k.copied(k.pending[index], peer)
		}
	}
}

func byPosition(record *pending, position int64) int {
	return cmp.Compare(record.record.Position, position)
}

// SegmentStored takes the result of writing the segment in effect.
func (k *Buffer) SegmentStored(now time.Time, ok bool) {
	if k.writing == nil {
		return
	}
	if !ok {
		k.failed = true
		k.flushAt = now.Add(k.config.RetryInterval)
		return
	}
	k.failed = false
	k.writing = nil
	k.drop(k.writeEnd)
	if len(k.pending) < MaxSegmentRecords {
		k.flushAt = now.Add(k.config.FlushInterval)
	}
	k.flush(now)
}

// Tick lets time pass.
func (k *Buffer) Tick(now time.Time) {
	if k.failed && !now.Before(k.flushAt) {
		k.failed = false
		k.effects.Write = k.writing
		return
	}
	k.flush(now)
}

// Flush stores what is pending now, whatever the interval.
func (k *Buffer) Flush(now time.Time) {
	k.flushAt = now
	k.Tick(now)
}

// Pending returns how many records are not stored yet.
func (k *Buffer) Pending() int {
	return len(k.pending)
}

// CanMakeDurable reports whether a new record can be expected to become safe.
func (k *Buffer) CanMakeDurable() bool {
	return len(k.peers) >= k.config.RequiredCopies || !k.failed
}

// TakeEffects returns the effects since the last call.
func (k *Buffer) TakeEffects() Effects {
	effects := k.effects
	k.effects = Effects{}
	return effects
}

func (k *Buffer) guards() []ident.Incarnation {
	if len(k.peers) < k.config.RequiredCopies {
		return nil
	}
	return k.peers[:k.config.RequiredCopies]
}

// flush starts a write if none is under way and either the interval is over or
// a record has no other way to become safe in time.
func (k *Buffer) flush(now time.Time) {
	if k.writing != nil || len(k.pending) == 0 {
		return
	}
	if now.Before(k.flushAt) && !k.urgent(now) {
		return
	}
	k.segment++
	batch := k.unstored()
	batch = batch[:min(len(batch), MaxSegmentRecords)]
	k.writeEnd = batch[len(batch)-1].Position
	k.writing = &Segment{Incarnation: k.self, Segment: k.segment, Entries: settled(batch)}
	k.effects.Write = k.writing
}

// urgent reports whether a record must be stored before the interval is over.
// Without copies none is waited for.
func (k *Buffer) urgent(now time.Time) bool {
	if k.config.RequiredCopies == 0 {
		return false
	}
	return len(k.guards()) == 0 || k.overdue(now)
}

// overdue reports whether a record has waited too long for its copies.
func (k *Buffer) overdue(now time.Time) bool {
	for _, record := range k.pending {
		if !record.safe {
			return now.Sub(record.since) >= k.config.CopyTimeout
		}
	}
	return false
}

func (k *Buffer) unstored() []Record {
	records := make([]Record, 0, len(k.pending))
	for _, record := range k.pending {
		records = append(records, record.record)
	}
	return records
}

func (k *Buffer) copyTo(guard ident.Incarnation, records []Record) {
	for part := range slices.Chunk(records, MaxCopyRecords) {
		body := CopyRequest{Holder: k.self, Records: part}
		k.effects.Copies = append(k.effects.Copies, Addressed[CopyRequest]{To: guard, Body: body})
	}
}

func (k *Buffer) copied(record *pending, peer ident.Incarnation) {
	if record.safe || slices.Contains(record.copied, peer) {
		return
	}
	record.copied = append(record.copied, peer)
	if len(record.copied) >= k.config.RequiredCopies {
		k.markSafe(record)
	}
}

func (k *Buffer) markSafe(record *pending) {
	if record.safe {
		return
	}
	record.safe = true
	k.effects.Durable = append(k.effects.Durable, record.record.Position)
}

func (k *Buffer) drop(upTo int64) {
	kept := k.pending[:0]
	holders := make(map[ident.Incarnation]bool)
	for _, record := range k.pending {
		if record.record.Position > upTo {
			kept = append(kept, record)
			continue
		}
		k.markSafe(record)
		for _, peer := range record.copied {
			holders[peer] = true
		}
	}
	clear(k.pending[len(kept):])
	k.pending = kept
	for peer := range holders {
		body := ReleaseNotice{Holder: k.self, UpTo: upTo}
		k.effects.Releases = append(k.effects.Releases, Addressed[ReleaseNotice]{To: peer, Body: body})
	}
}

// settled drops open entries that a final entry of the same records replaces.
func settled(records []Record) []Entry {
	final := make(map[ident.Request]bool)
	for _, record := range records {
		if record.Entry.State == Final {
			final[record.Entry.Request] = true
		}
	}
	entries := make([]Entry, 0, len(records))
	for _, record := range records {
		if record.Entry.State == Open && final[record.Entry.Request] {
			continue
		}
		entries = append(entries, record.Entry)
	}
	return entries
}
