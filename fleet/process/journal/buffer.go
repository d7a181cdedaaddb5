package journal

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
)

// Record is an entry with its position in the journal of one incarnation. A record
// never changes, and positions are not reused.
type Record struct {
	Position int64 `json:"position" cbor:"position"`
	Entry    Entry `json:"entry" cbor:"entry"`
}

// CopyRequest requests a peer to hold copies of records until they are stored. Owner is
// the incarnation whose journal the records belong to, in all three messages.
type CopyRequest struct {
	Owner   ident.Incarnation `cbor:"holder"`
	Records []Record          `cbor:"records"`
}

// CopyReply confirms to the owner which records the peer holds, or need not hold since
// they are stored already.
type CopyReply struct {
	Owner     ident.Incarnation `cbor:"holder"`
	Positions []int64           `cbor:"positions"`
}

// ReleaseNotice lets a peer drop its copies of all records up to and including a
// position, since they are stored.
type ReleaseNotice struct {
	Owner ident.Incarnation `cbor:"holder"`
	UpTo  int64             `cbor:"up_to"`
}

// Limits that let a message fit into one frame and a segment into one stored object.
const (
	// MaxCopyRecords is the maximum number of records in one CopyRequest.
	MaxCopyRecords = 500
	// MaxSegmentRecords is the maximum number of records that one segment is made from.
	// It can have fewer entries, since open entries with a final one are left out.
	MaxSegmentRecords = 1500
	// MaxSegmentBytes bounds the entries of one segment, and the records of one CopyRequest.
	// The store and the frames of peers take 1 MB, with names and positions.
	MaxSegmentBytes = 900 << 10
)

// Addressed is a message with its recipient.
type Addressed[T any] struct {
	To   ident.Incarnation
	Body T
}

// Effects are the actions that the user of a Buffer must carry out, in any order.
type Effects struct {
	// Write is the segment to write to the store, or nil.
	Write    *Segment
	Copies   []Addressed[CopyRequest]
	Releases []Addressed[ReleaseNotice]
	// Durable lists the positions of records that now survive the loss of this
	// process.
	Durable []int64
}

// Config configures a Buffer.
type Config struct {
	// RequiredCopies is how many peers must hold a record before it is durable
	// without the store.
	RequiredCopies int
	// CopyTimeout is the time after which a record that too few peers have confirmed
	// is written to the store without waiting for the flush interval.
	CopyTimeout time.Duration
	// FlushInterval is the time from the end of one write to the start of the next while
	// records become durable by copies.
	FlushInterval time.Duration
	// RetryInterval is the time after which a failed write is repeated.
	RetryInterval time.Duration
	// MaxPending is the number of records that are not stored yet, and MaxPendingBytes their
	// size, at which entries are refused, if Buffer.Append was called with refusable.
	MaxPending      int
	MaxPendingBytes int
}

// DefaultConfig returns the configuration for a small fleet.
func DefaultConfig() Config {
	return Config{
		RequiredCopies:  2,
		CopyTimeout:     200 * time.Millisecond,
		FlushInterval:   time.Second,
		RetryInterval:   500 * time.Millisecond,
		MaxPending:      200_000,
		MaxPendingBytes: 64 << 20,
	}
}

// pendingRecord is a record that is not stored yet.
type pendingRecord struct {
	record  Record
	bytes   int
	addedAt time.Time
	// confirmedBy are the peers that have confirmed their copy. No more are added once
	// the record is durable.
	confirmedBy []ident.Incarnation
	durable     bool
}

// Buffer holds the records of this process until they are stored, and decides how they
// become durable: by copies at enough peers, in which case they are stored in batches
// later, else by an immediate write to the store. It is used by the control thread
// only and does no I/O.
type Buffer struct {
	config Config
	self   ident.Incarnation
	// peers are the reachable peers in order of preference.
	peers []ident.Incarnation
	// pending are the records that are not stored yet, by position.
	pending []*pendingRecord
	// pendingBytes is the size of the pending records.
	pendingBytes int
	lastPosition int64
	lastSegment  int64
	// writing is the segment whose write has no successful result yet, and writeEnd
	// its last position.
	writing  *Segment
	writeEnd int64
	// failed reports whether the write of writing failed and its repeat has not started.
	// It is also false while the repeat is in progress.
	failed bool
	// flushAt is the time of the next regular write, or of the repeat of a failed one.
	flushAt time.Time
	effects Effects
}

// NewBuffer returns the empty buffer of one incarnation.
func NewBuffer(config Config, self ident.Incarnation) *Buffer {
	return &Buffer{config: config, self: self}
}

// Append adds an entry and returns its position. If refusable is set and the buffer is full,
// it does not add the entry and returns false.
func (b *Buffer) Append(now time.Time, entry Entry, refusable bool) (int64, bool) {
	if refusable && b.Full() {
		return 0, false
	}
	b.lastPosition++
	added := &pendingRecord{record: Record{Position: b.lastPosition, Entry: entry}, bytes: entry.EncodedBytes(), addedAt: now}
	b.pending = append(b.pending, added)
	b.pendingBytes += added.bytes
	for _, peer := range b.copyPeers() {
		b.copyTo(peer, []Record{added.record})
	}
	b.flush(now)
	return b.lastPosition, true
}

// SetPeers sets the reachable peers in order of preference. The first RequiredCopies
// of them hold the copies; records that are not stored yet are copied to those that
// are new among them.
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

// SetFlushInterval changes Config.FlushInterval.
func (b *Buffer) SetFlushInterval(interval time.Duration) {
	b.config.FlushInterval = interval
}

// ConfirmCopies marks the records of the message as held by the peer. Records that are
// stored already are ignored.
func (b *Buffer) ConfirmCopies(peer ident.Incarnation, message CopyReply) {
	for _, position := range message.Positions {
		index, found := slices.BinarySearchFunc(b.pending, position, byPosition)
		if found {
			b.confirmCopy(b.pending[index], peer)
		}
	}
}

func byPosition(record *pendingRecord, position int64) int {
	return cmp.Compare(record.record.Position, position)
}

// CompleteWrite handles the result of writing the segment of Effects.Write. A failed
// write is repeated unchanged after RetryInterval. After a successful one the next write
// starts at once if a full segment of records is pending or a record cannot become
// durable in time by copies, else after FlushInterval.
func (b *Buffer) CompleteWrite(now time.Time, ok bool) {
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
	if !b.hasFullSegment() {
		b.flushAt = now.Add(b.config.FlushInterval)
	}
	b.flush(now)
}

// Tick writes a segment if one is due at this time. It must be called regularly.
func (b *Buffer) Tick(now time.Time) {
	if b.failed && !now.Before(b.flushAt) {
		b.failed = false
		b.effects.Write = b.writing
		return
	}
	b.flush(now)
}

// Flush starts a write of the pending records without waiting for the flush interval, or
// repeats a failed write without waiting for the retry interval. It starts nothing while a
// write is in progress.
func (b *Buffer) Flush(now time.Time) {
	b.flushAt = now
	b.Tick(now)
}

// Pending returns the number of records that are not stored yet.
func (b *Buffer) Pending() int {
	return len(b.pending)
}

// Full reports whether the records that are not stored yet have reached MaxPending or
// MaxPendingBytes.
func (b *Buffer) Full() bool {
	return len(b.pending) >= b.config.MaxPending || b.pendingBytes >= b.config.MaxPendingBytes
}

// CanMakeDurable reports whether a new record can be expected to become durable: enough
// peers are reachable, or no failed write to the store waits for its repeat.
func (b *Buffer) CanMakeDurable() bool {
	return len(b.peers) >= b.config.RequiredCopies || !b.failed
}

// TakeEffects returns the effects since its last call.
func (b *Buffer) TakeEffects() Effects {
	effects := b.effects
	b.effects = Effects{}
	return effects
}

// copyPeers returns the peers that hold the copies, or none if too few peers are
// reachable.
func (b *Buffer) copyPeers() []ident.Incarnation {
	if len(b.peers) < b.config.RequiredCopies {
		return nil
	}
	return b.peers[:b.config.RequiredCopies]
}

// flush starts a write if none is in progress, records are pending, and either flushAt is
// reached or a record cannot become durable in time by copies.
func (b *Buffer) flush(now time.Time) {
	if b.writing != nil || len(b.pending) == 0 {
		return
	}
	if now.Before(b.flushAt) && !b.urgent(now) {
		return
	}
	b.lastSegment++
	batch := firstBatch(b.unstored(), MaxSegmentRecords)
	b.writeEnd = batch[len(batch)-1].Position
	b.writing = &Segment{Incarnation: b.self, Number: b.lastSegment, Entries: compact(batch)}
	b.effects.Write = b.writing
}

// firstBatch returns the first records that fit into one message or segment, at least one.
func firstBatch(records []Record, maxRecords int) []Record {
	bytes := 0
	for index, record := range records {
		bytes += record.Entry.EncodedBytes()
		if index > 0 && (index >= maxRecords || bytes > MaxSegmentBytes) {
			return records[:index]
		}
	}
	return records
}

// hasFullSegment reports whether the pending records fill a segment.
func (b *Buffer) hasFullSegment() bool {
	return len(b.pending) >= MaxSegmentRecords || b.pendingBytes > MaxSegmentBytes
}

// urgent reports whether a record must be stored before the flush interval has passed. If
// no copies are required, requests do not wait for their records to become durable, so
// that none is urgent.
func (b *Buffer) urgent(now time.Time) bool {
	if b.config.RequiredCopies == 0 {
		return false
	}
	return len(b.copyPeers()) == 0 || b.overdue(now)
}

// overdue reports whether the oldest record that is not durable has waited for its
// copies longer than CopyTimeout.
func (b *Buffer) overdue(now time.Time) bool {
	for _, record := range b.pending {
		if !record.durable {
			return now.Sub(record.addedAt) >= b.config.CopyTimeout
		}
	}
	return false
}

// unstored returns the pending records, by position.
func (b *Buffer) unstored() []Record {
	records := make([]Record, 0, len(b.pending))
	for _, record := range b.pending {
		records = append(records, record.record)
	}
	return records
}

func (b *Buffer) copyTo(peer ident.Incarnation, records []Record) {
	for len(records) > 0 {
		part := firstBatch(records, MaxCopyRecords)
		records = records[len(part):]
		body := CopyRequest{Owner: b.self, Records: part}
		b.effects.Copies = append(b.effects.Copies, Addressed[CopyRequest]{To: peer, Body: body})
	}
}

func (b *Buffer) confirmCopy(record *pendingRecord, peer ident.Incarnation) {
	if record.durable || slices.Contains(record.confirmedBy, peer) {
		return
	}
	record.confirmedBy = append(record.confirmedBy, peer)
	if len(record.confirmedBy) >= b.config.RequiredCopies {
		b.markDurable(record)
	}
}

func (b *Buffer) markDurable(record *pendingRecord) {
	if record.durable {
		return
	}
	record.durable = true
	b.effects.Durable = append(b.effects.Durable, record.record.Position)
}

// removeUpTo removes the stored records up to the position and notifies the peers that
// confirmed copies of them.
func (b *Buffer) removeUpTo(upTo int64) {
	kept := b.pending[:0]
	confirming := make(map[ident.Incarnation]bool)
	for _, record := range b.pending {
		if record.record.Position > upTo {
			kept = append(kept, record)
			continue
		}
		b.pendingBytes -= record.bytes
		b.markDurable(record)
		for _, peer := range record.confirmedBy {
			confirming[peer] = true
		}
	}
	clear(b.pending[len(kept):])
	b.pending = kept
	for peer := range confirming {
		body := ReleaseNotice{Owner: b.self, UpTo: upTo}
		b.effects.Releases = append(b.effects.Releases, Addressed[ReleaseNotice]{To: peer, Body: body})
	}
}

// compact returns the entries of the records, without open entries that are replaced
// by a final entry among them.
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
