package member

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// Delays of a view.
const (
	// SuspectAfter is how long a link stays lost before its far end is suspected.
	SuspectAfter = 2 * time.Second
	// GoneAfter is how long a process stays suspected before the platform's list
	// or a successor at its address can end it.
	GoneAfter = 30 * time.Second
	// ForgetAfter is how long the record of a gone process is kept.
	ForgetAfter = 10 * time.Minute
	// SuspectAgainAfter spaces out suspicions that the far end keeps refuting.
	SuspectAgainAfter = time.Minute
)

// record is a member with what this process alone has seen of it.
type record struct {
	member        Member
	linked        bool
	superseded    bool
	linkDownSince time.Time
	stateSince    time.Time
	lastSuspected time.Time
}

// View is one process's picture of the fleet. It belongs to one goroutine.
type View struct {
	self     ident.Incarnation
	records  map[ident.Incarnation]*record
	vmStates map[string]vm.State
	digest   uint64
	evicted  bool
}

// NewView returns a view that knows only the process itself.
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

// SetState announces a new state of the process itself.
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

// SetLoad notes the process's own load. It travels with heartbeats.
func (v *View) SetLoad(load Load) {
	held := v.records[v.self]
	load.Sequence = held.member.Load.Sequence + 1
	held.member.Load = load
}

// MergeLoad takes the load that a neighbour reported of itself.
func (v *View) MergeLoad(from ident.Incarnation, load Load) {
	held, ok := v.records[from]
	if ok && from != v.self && load.Sequence > held.member.Load.Sequence {
		held.member.Load = load
	}
}

// Evicted reports whether the fleet holds this process gone. It can't be undone:
// the process drains and starts anew under another incarnation.
func (v *View) Evicted() bool {
	return v.evicted
}

// Member returns the record of one incarnation.
func (v *View) Member(incarnation ident.Incarnation) (Member, bool) {
	held, ok := v.records[incarnation]
	if !ok {
		return Member{}, false
	}
	return v.withVMState(held), true
}

// Members returns every record, by incarnation. A process whose VM is leaving
// by the platform's list shows as draining.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.records))
	for _, held := range v.records {
		members = append(members, v.withVMState(held))
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	return members
}

func (v *View) withVMState(held *record) Member {
	seen := held.member
	if seen.State == Live && v.vmStates[seen.VM] == vm.Leaving {
		seen.State = Draining
	}
	return seen
}

// Digest sums up the versions of all records that are not gone. Two views with
// the same records have the same digest.
func (v *View) Digest() uint64 {
	return v.digest
}

// Merge takes records from another process and returns those that were news.
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

func (v *View) isNewer(incoming Member) bool {
	held, ok := v.records[incoming.Incarnation]
	if !ok {
		return incoming.State != Gone
	}
	return incoming.Version().Newer(held.member.Version())
}

// refute raises the process's own record above what others say of it.
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

// resolveAddressConflict makes the later of two processes at one address replace the
// earlier. The process itself is there, so no other can be the later one.
func (v *View) resolveAddressConflict(incarnation ident.Incarnation, now time.Time) []Member {
	latest := v.records[incarnation]
	if latest.member.State == Gone || latest.member.PeerAddress == "" {
		return nil
	}
	var updates []Member
	for _, other := range v.records {
		if other == latest || other.member.State == Gone {
			continue
		}
		if other.member.PeerAddress == latest.member.PeerAddress {
			updates = append(updates, v.supersede(latest, other, now)...)
		}
	}
	return updates
}

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

// advanceStart sets the process's own start after that of a predecessor whose clock
// ran ahead.
func (v *View) advanceStart(after time.Time, now time.Time) Member {
	self := v.Self()
	self.Started = after.Add(time.Millisecond)
	self.Sequence++
	v.store(self, now)
	return self
}

// Suspect marks the member suspected unless it refuted that a short while ago.
func (v *View) Suspect(incarnation ident.Incarnation, now time.Time) []Member {
	held, ok := v.records[incarnation]
	if !ok || incarnation == v.self || held.linked {
		return nil
	}
	if held.member.State != Live && held.member.State != Draining {
		return nil
	}
	if !held.lastSuspected.IsZero() && now.Sub(held.lastSuspected) < SuspectAgainAfter {
		return nil
	}
	held.lastSuspected = now
	return []Member{v.setMemberState(held.member, Suspected, now)}
}

func (v *View) setMemberState(changed Member, state State, now time.Time) Member {
	changed.State = state
	v.store(changed, now)
	return changed
}

// store stores a record and keeps the digest.
func (v *View) store(incoming Member, now time.Time) {
	held, ok := v.records[incoming.Incarnation]
	if !ok {
		held = &record{stateSince: now}
		v.records[incoming.Incarnation] = held
	} else {
		v.toggleDigest(held.member)
	}
	if held.member.State != incoming.State {
		held.stateSince = now
	}
	if held.member.Load.Sequence > incoming.Load.Sequence {
		incoming.Load = held.member.Load
	}
	held.superseded = held.superseded && incoming.State == Suspected
	held.member = incoming
	v.toggleDigest(incoming)
}

// toggleDigest adds a record to the digest, or takes it out again.
func (v *View) toggleDigest(held Member) {
	if held.State != Gone {
		v.digest ^= held.Version().hash()
	}
}
