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
	record   Record
	since    time.Time
	copiedTo []ident.Incarnation
	durable  bool
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
func (b *Buffer) Append(now time.Time, entry Entry, refusable bool) (int64, bool) {
	if refusable && len(b.pending) >= b.config.MaxPending {
		return 0, false
	}
	b.position++
	added := &pending{record: Record{Position: b.position, Entry: entry}, since: now}
	b.pending = append(b.pending, added)
	for _, peer := range b.copyPeers() {
		b.copyTo(peer, []Record{added.record})
	}
	b.flush(now)
	return b.position, true
}

// SetPeers tells which peers can be reached, in order of preference. Records
// that are not stored yet are copied to peers that become guards.
func (b *Buffer) SetPeers(now time.Time, peers []ident.Incarnation) {
	before := b.copyPeers()
	b.peers = peers
	for _, peer := range b.copyPeers() {
		if slices.Contains(before, peer) {
			continue
		}
		b.copyTo(peer, b.unstored())
	}
	b.flush(now)
}

// SetFlushInterval changes the time between stored batches.
func (b *Buffer) SetFlushInterval(interval time.Duration) {
	b.config.FlushInterval = interval
}

// CopyReply takes a peer's word that it holds records.
func (b *Buffer) ConfirmCopies(peer ident.Incarnation, message CopyReply) {
	for _, position := range message.Positions {
		index, found := slices.BinarySearchFunc(b.pending, position, byPosition)
		if found {
			b.confirmCopy(b.pending[index], peer)
		}
	}
}

func byPosition(record *pending, position int64) int {
	return cmp.Compare(record.record.Position, position)
}

// SegmentStored takes the result of writing the segment in effect.
func (b *Buffer) SegmentStored(now time.Time, ok bool) {
	if b.writing == nil {
		return
	}
	if !ok {
		b.failed = true
		b.flushAt = now.Add(b.config.RetryInterval)
		return
	}
	b.failed = false
	b.writing = nil
	b.removeUpTo(b.writeEnd)
	if len(b.pending) < MaxSegmentRecords {
		b.flushAt = now.Add(b.config.FlushInterval)
	}
	b.flush(now)
}

// Tick lets time pass.
func (b *Buffer) Tick(now time.Time) {
	if b.failed && !now.Before(b.flushAt) {
		b.failed = false
		b.effects.Write = b.writing
		return
	}
	b.flush(now)
}

// Flush stores what is pending now, whatever the interval.
func (b *Buffer) Flush(now time.Time) {
	b.flushAt = now
	b.Tick(now)
}

// Pending returns how many records are not stored yet.
func (b *Buffer) Pending() int {
	return len(b.pending)
}

// CanMakeDurable reports whether a new record can be expected to become safe.
func (b *Buffer) CanMakeDurable() bool {
	return len(b.peers) >= b.config.RequiredCopies || !b.failed
}

// TakeEffects returns the effects since the last call.
func (b *Buffer) TakeEffects() Effects {
	effects := b.effects
	b.effects = Effects{}
	return effects
}

func (b *Buffer) copyPeers() []ident.Incarnation {
	if len(b.peers) < b.config.RequiredCopies {
		return nil
	}
	return b.peers[:b.config.RequiredCopies]
}

// flush starts a write if none is under way and either the interval is over or
// a record has no other way to become safe in time.
func (b *Buffer) flush(now time.Time) {
	if b.writing != nil || len(b.pending) == 0 {
		return
	}
	if now.Before(b.flushAt) && !b.urgent(now) {
		return
	}
	b.segment++
	batch := b.unstored()
	batch = batch[:min(len(batch), MaxSegmentRecords)]
	b.writeEnd = batch[len(batch)-1].Position
	b.writing = &Segment{Incarnation: b.self, Segment: b.segment, Entries: compact(batch)}
	b.effects.Write = b.writing
}

// urgent reports whether a record must be stored before the interval is over.
// Without copies none is waited for.
func (b *Buffer) urgent(now time.Time) bool {
	if b.config.RequiredCopies == 0 {
		return false
	}
	return len(b.copyPeers()) == 0 || b.overdue(now)
}

// overdue reports whether a record has waited too long for its copies.
func (b *Buffer) overdue(now time.Time) bool {
	for _, record := range b.pending {
		if !record.durable {
			return now.Sub(record.since) >= b.config.CopyTimeout
		}
	}
	return false
}

func (b *Buffer) unstored() []Record {
	records := make([]Record, 0, len(b.pending))
	for _, record := range b.pending {
		records = append(records, record.record)
	}
	return records
}

func (b *Buffer) copyTo(peer ident.Incarnation, records []Record) {
	for part := range slices.Chunk(records, MaxCopyRecords) {
		body := CopyRequest{Holder: b.self, Records: part}
		b.effects.Copies = append(b.effects.Copies, Addressed[CopyRequest]{To: peer, Body: body})
	}
}

func (b *Buffer) confirmCopy(record *pending, peer ident.Incarnation) {
	if record.durable || slices.Contains(record.copiedTo, peer) {
		return
	}
	record.copiedTo = append(record.copiedTo, peer)
	if len(record.copiedTo) >= b.config.RequiredCopies {
		b.markDurable(record)
	}
}

func (b *Buffer) markDurable(record *pending) {
	if record.durable {
		return
	}
	record.durable = true
	b.effects.Durable = append(b.effects.Durable, record.record.Position)
}

func (b *Buffer) removeUpTo(upTo int64) {
	kept := b.pending[:0]
	holders := make(map[ident.Incarnation]bool)
	for _, record := range b.pending {
		if record.record.Position > upTo {
			kept = append(kept, record)
			continue
		}
		b.markDurable(record)
		for _, peer := range record.copiedTo {
			holders[peer] = true
		}
	}
	clear(b.pending[len(kept):])
	b.pending = kept
	for peer := range holders {
		body := ReleaseNotice{Holder: b.self, UpTo: upTo}
		b.effects.Releases = append(b.effects.Releases, Addressed[ReleaseNotice]{To: peer, Body: body})
	}
}

// compact drops open entries that a final entry of the same records replaces.
func compact(records []Record) []Entry {
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
