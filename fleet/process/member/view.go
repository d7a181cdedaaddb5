package member

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// Delays of failure detection.
const (
	// SuspectAfter is the time between the loss of a link and the suspicion of the
	// process at its other end, if no new link comes up.
	SuspectAfter = 2 * time.Second
	// GoneAfter is the minimum time in the state suspected before a process can be
	// marked gone, which also needs its VM to be missing from the platform's list or a
	// successor at its peer address.
	GoneAfter = 30 * time.Second
	// ForgetAfter is the time after which the record of a gone process is deleted.
	ForgetAfter = 10 * time.Minute
	// SuspectAgainAfter is the minimum time between two suspicions of one process to which
	// no link came up in between. It limits the gossip about a process that keeps refuting
	// them.
	SuspectAgainAfter = time.Minute
)

// record is a member with the facts that only this process has observed.
type record struct {
	member Member
	linked bool
	// superseded is whether a later process runs at the member's peer address.
	superseded bool
	// linkDownSince is when the last link to the member was lost. It is zero if a link
	// is up, if there was none, or if it was closed because it was not needed.
	linkDownSince time.Time
	stateSince    time.Time
	// lastSuspected is when this process last suspected the member, or zero if it did not
	// since the last link to the member came up.
	lastSuspected time.Time
}

// View holds the membership records that one process has of the fleet, its own included.
// It is not safe for concurrent use.
type View struct {
	self    ident.Incarnation
	records map[ident.Incarnation]*record
	// vmStates holds the state of each VM on the platform's list by name. It is empty
	// until the first list.
	vmStates map[string]vm.State
	digest   uint64
	// evicted is whether another process has marked this one gone.
	evicted bool
}

// NewView returns a view with only the record of the process itself, in the state live.
func NewView(self Member, now time.Time) *View {
	view := &View{
		self:     self.Incarnation,
		records:  make(map[ident.Incarnation]*record),
		vmStates: make(map[string]vm.State),
	}
	self.State = Live
	self.Sequence = max(self.Sequence, 1)
	view.store(self, now)
	return view
}

// Self returns the process's own record.
func (v *View) Self() Member {
	return v.records[v.self].member
}

// SetState changes the state of the process itself and returns its record, with a
// higher sequence if the state changed.
func (v *View) SetState(state State, now time.Time) Member {
	self := v.Self()
	if self.State == state {
		return self
	}
	self.State = state
	self.Sequence++
	v.store(self, now)
	return self
}

// SetLoad sets the process's own load and increases the sequence of the load. Other
// processes receive it with heartbeats.
func (v *View) SetLoad(load Load) {
	rec := v.records[v.self]
	load.Sequence = rec.member.Load.Sequence + 1
	rec.member.Load = load
}

// MergeLoad stores the load that another process reported about itself, unless the view
// has a newer one.
func (v *View) MergeLoad(from ident.Incarnation, load Load) {
	rec, ok := v.records[from]
	if ok && from != v.self && load.Sequence > rec.member.Load.Sequence {
		rec.member.Load = load
	}
}

// Evicted reports whether another process has marked this one gone. That is final: the
// process has to drain and restart under another incarnation.
func (v *View) Evicted() bool {
	return v.evicted
}

// Member returns the record of one incarnation, in the state draining if it is live and
// its VM is leaving according to the platform's list.
func (v *View) Member(incarnation ident.Incarnation) (Member, bool) {
	rec, ok := v.records[incarnation]
	if !ok {
		return Member{}, false
	}
	return v.withVMState(rec), true
}

// Members returns all records sorted by incarnation. A live process whose VM is leaving
// according to the platform's list is returned in the state draining.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.records))
	for _, rec := range v.records {
		members = append(members, v.withVMState(rec))
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	return members
}

// withVMState returns the member of a record with its StateSince, in the state draining if
// it is live and its VM is leaving.
func (v *View) withVMState(rec *record) Member {
	effective := rec.member
	effective.StateSince = rec.stateSince
	if effective.State == Live && v.vmStates[effective.VM] == vm.Leaving {
		effective.State = Draining
	}
	return effective
}

// Digest returns a hash of the versions of all records that are not gone. Two views with
// the same such versions have the same digest.
func (v *View) Digest() uint64 {
	return v.digest
}

// Merge merges records from another process into the view and returns the records that
// changed, including the process's own if it refuted a suspicion.
func (v *View) Merge(records []Member, now time.Time) []Member {
	var updates []Member
	for _, incoming := range records {
		if incoming.Incarnation == v.self {
			updates = append(updates, v.refute(incoming, now)...)
			continue
		}
		if !v.isNewer(incoming) {
			v.MergeLoad(incoming.Incarnation, incoming.Load)
			continue
		}
		v.store(incoming, now)
		updates = append(updates, v.records[incoming.Incarnation].member)
		updates = append(updates, v.resolveAddressConflict(incoming.Incarnation, now)...)
	}
	return updates
}

// isNewer reports whether a record replaces the one in the view. A gone process that the
// view doesn't have is not added.
func (v *View) isNewer(incoming Member) bool {
	rec, ok := v.records[incoming.Incarnation]
	if !ok {
		return incoming.State != Gone
	}
	return incoming.Version().Newer(rec.member.Version())
}

// refute increases the sequence of the process's own record beyond that of a newer claim
// about it. A claim that the process is gone can't be refuted: it marks the process
// evicted, unless the process has set its own state to gone.
func (v *View) refute(claim Member, now time.Time) []Member {
	self := v.Self()
	if claim.State == Gone {
		v.evicted = self.State != Gone
		return nil
	}
	if !claim.Version().Newer(self.Version()) {
		return nil
	}
	self.Sequence = claim.Sequence + 1
	v.store(self, now)
	return []Member{self}
}

// resolveAddressConflict marks those processes superseded that share a peer address with
// the merged record, or that record's own process, whichever started earlier.
func (v *View) resolveAddressConflict(incarnation ident.Incarnation, now time.Time) []Member {
	merged := v.records[incarnation]
	if merged.member.State == Gone || merged.member.PeerAddress == "" {
		return nil
	}
	var updates []Member
	for _, other := range v.records {
		if other == merged || other.member.State == Gone {
			continue
		}
		if other.member.PeerAddress == merged.member.PeerAddress {
			updates = append(updates, v.supersede(merged, other, now)...)
		}
	}
	return updates
}

// supersede marks the earlier of two processes at the same peer address superseded and
// suspected. This process still runs at its own address, so another process there is
// always the earlier one: if start times say otherwise, this process moves its own.
func (v *View) supersede(a, b *record, now time.Time) []Member {
	earlier, later := a, b
	if startedBefore(b.member, a.member) {
		earlier, later = b, a
	}
	var updates []Member
	if earlier.member.Incarnation == v.self {
		updates = append(updates, v.advanceStart(later.member.Started, now))
		earlier = later
	}
	earlier.superseded = true
	if earlier.member.State != Suspected {
		earlier.member = v.setMemberState(earlier.member, Suspected, now)
		updates = append(updates, earlier.member)
	}
	return updates
}

// advanceStart sets the process's own start time after that of a predecessor whose clock
// ran ahead, so that all processes order this one as the later.
func (v *View) advanceStart(after time.Time, now time.Time) Member {
	self := v.Self()
	self.Started = after.Add(time.Millisecond)
	self.Sequence++
	v.store(self, now)
	return self
}

// Suspect marks a live or draining member suspected and returns its changed record. It
// does nothing if a link to the member is up, or if the last suspicion is more recent than
// SuspectAgainAfter and no link came up since.
func (v *View) Suspect(incarnation ident.Incarnation, now time.Time) []Member {
	rec, ok := v.records[incarnation]
	if !ok || incarnation == v.self || rec.linked {
		return nil
	}
	if rec.member.State != Live && rec.member.State != Draining {
		return nil
	}
	if !rec.lastSuspected.IsZero() && now.Sub(rec.lastSuspected) < SuspectAgainAfter {
		return nil
	}
	rec.lastSuspected = now
	return []Member{v.setMemberState(rec.member, Suspected, now)}
}

func (v *View) setMemberState(changed Member, state State, now time.Time) Member {
	changed.State = state
	v.store(changed, now)
	return changed
}

// store adds or replaces a record and updates the digest. It keeps the load if that is
// newer than the incoming one. A member that isn't suspected is no longer superseded.
func (v *View) store(incoming Member, now time.Time) {
	rec, ok := v.records[incoming.Incarnation]
	if !ok {
		rec = &record{stateSince: now}
		v.records[incoming.Incarnation] = rec
	} else {
		v.toggleDigest(rec.member)
	}
	if rec.member.State != incoming.State {
		rec.stateSince = now
	}
	if rec.member.Load.Sequence > incoming.Load.Sequence {
		incoming.Load = rec.member.Load
	}
	rec.superseded = rec.superseded && incoming.State == Suspected
	rec.member = incoming
	v.toggleDigest(incoming)
}

// toggleDigest adds a record to the digest or, called again, removes it. The digest is
// the XOR of the version hashes, so the order of records doesn't matter. Gone records
// are not part of it.
func (v *View) toggleDigest(m Member) {
	if m.State != Gone {
		v.digest ^= m.Version().hash()
	}
}
