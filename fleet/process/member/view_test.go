package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func memberNamed(name ident.Incarnation) member.Member {
	return member.Member{
		Incarnation: name,
		VM:          "vm-" + string(name),
		PeerAddress: "10.0.0.1:" + string(name),
		State:       member.Live,
		Started:     epoch,
		Sequence:    1,
	}
}

func viewOf(self ident.Incarnation, others ...member.Member) *member.View {
	view := member.NewView(memberNamed(self), epoch)
	view.Merge(others, epoch)
	return view
}

func stateOf(t *testing.T, view *member.View, name ident.Incarnation) member.State {
	t.Helper()
	m, ok := view.Member(name)
	if !ok {
		t.Fatalf("member %s: got none, want one", name)
	}
	return m.State
}

func TestNewerVersions(t *testing.T) {
	tests := []struct {
		name       string
		sequence   int64
		state      member.State
		other      int64
		otherState member.State
		want       bool
	}{
		{"higher sequence", 2, member.Live, 1, member.Live, true},
		{"same sequence", 1, member.Live, 1, member.Live, false},
		{"lower sequence", 1, member.Live, 2, member.Live, false},
		{"suspicion of the same sequence", 1, member.Suspected, 1, member.Draining, true},
		{"suspicion of a lower sequence", 1, member.Suspected, 2, member.Live, false},
		{"refuted suspicion", 2, member.Live, 1, member.Suspected, true},
		{"same sequence after suspicion", 1, member.Live, 1, member.Suspected, false},
		{"gone with a lower sequence", 1, member.Gone, 9, member.Live, true},
		{"anything after gone", 9, member.Live, 1, member.Gone, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			version := member.Version{Sequence: test.sequence, State: test.state}
			otherVersion := member.Version{Sequence: test.other, State: test.otherState}
			if got := version.Newer(otherVersion); got != test.want {
				t.Errorf("newer: got %t, want %t", got, test.want)
			}
		})
	}
}

func TestProcessRefutesSuspicionButNotEviction(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	claim := memberNamed("a")
	claim.State = member.Suspected
	updates := view.Merge([]member.Member{claim}, epoch)
	if len(updates) != 1 || updates[0].Sequence != 2 || updates[0].State != member.Live {
		t.Errorf("refutation: got %+v, want a live record with sequence 2", updates)
	}
	claim.State = member.Gone
	view.Merge([]member.Member{claim}, epoch)
	if !view.Evicted() {
		t.Error("evicted: got false, want true")
	}
}

func TestLostLinkCausesSuspicion(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	view.LinkUp("b")
	view.LinkDown("b", epoch)
	view.Tick(epoch.Add(member.SuspectAfter - 1))
	if got := stateOf(t, view, "b"); got != member.Live {
		t.Errorf("before the delay: got %s, want live", got)
	}
	view.Tick(epoch.Add(member.SuspectAfter))
	if got := stateOf(t, view, "b"); got != member.Suspected {
		t.Errorf("after the delay: got %s, want suspected", got)
	}
}

func TestReplacedOrRetiredLinkCausesNoSuspicion(t *testing.T) {
	view := viewOf("a", memberNamed("b"), memberNamed("c"))
	view.LinkUp("b")
	view.LinkDown("b", epoch)
	view.LinkUp("b")
	view.LinkUp("c")
	view.LinkClosed("c")
	if got := view.Tick(epoch.Add(time.Hour)); len(got) != 0 {
		t.Errorf("updates: got %+v, want none", got)
	}
}

func TestRefutedSuspicionIsNotRepeatedAtOnce(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	view.Suspect("b", epoch)
	refuted := memberNamed("b")
	refuted.Sequence = 2
	view.Merge([]member.Member{refuted}, epoch)
	if got := view.Suspect("b", epoch.Add(time.Second)); len(got) != 0 {
		t.Errorf("repeated suspicion: got %+v, want none", got)
	}
	if got := view.Suspect("b", epoch.Add(member.SuspectAgainAfter)); len(got) != 1 {
		t.Errorf("suspicion after the interval: got %+v, want one record", got)
	}
}

// A process was cut off, returned and was killed soon after. The link that it opened in
// between shows that the new loss is another failure.
func TestMemberThatReturnedIsSuspectedAgain(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	view.LinkUp("b")
	view.LinkDown("b", epoch)
	view.Tick(epoch.Add(member.SuspectAfter))
	refuted := memberNamed("b")
	refuted.Sequence = 2
	back := epoch.Add(10 * time.Second)
	view.Merge([]member.Member{refuted}, back)
	view.LinkUp("b")
	view.LinkDown("b", back)
	if got := view.Tick(back.Add(member.SuspectAfter)); len(got) != 1 || got[0].State != member.Suspected {
		t.Errorf("updates: got %+v, want b suspected", got)
	}
}

// Locate responses drop a suspected router by the time since then.
func TestMembersHaveTheTimeOfTheirState(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	suspected := memberNamed("b")
	suspected.State = member.Suspected
	suspected.StateSince = epoch.Add(-time.Hour)
	heard := epoch.Add(3 * time.Second)
	view.Merge([]member.Member{suspected}, heard)
	view.Merge([]member.Member{suspected}, heard.Add(time.Second))
	if got, _ := view.Member("b"); !got.StateSince.Equal(heard) {
		t.Errorf("suspected since: got %s, want %s", got.StateSince, heard)
	}
	refuted := memberNamed("b")
	refuted.Sequence = 2
	back := heard.Add(time.Minute)
	view.Merge([]member.Member{refuted}, back)
	if got, _ := view.Member("b"); !got.StateSince.Equal(back) {
		t.Errorf("live since: got %s, want %s", got.StateSince, back)
	}
}

func TestUnreachableMemberIsGoneOnlyIfUnlisted(t *testing.T) {
	const partition = 5 * time.Hour
	view := viewOf("a", memberNamed("b"))
	view.SetVMList([]vm.VM{{Name: "vm-b", State: vm.Live}})
	view.Suspect("b", epoch)
	view.Tick(epoch.Add(partition))
	if got := stateOf(t, view, "b"); got != member.Suspected {
		t.Errorf("listed: got %s, want suspected", got)
	}
	view.SetVMList(nil)
	view.Tick(epoch.Add(partition))
	if got := stateOf(t, view, "b"); got != member.Suspected {
		t.Errorf("empty list: got %s, want suspected", got)
	}
	view.SetVMList([]vm.VM{{Name: "vm-a", State: vm.Live}})
	view.Tick(epoch.Add(partition))
	if got := stateOf(t, view, "b"); got != member.Gone {
		t.Errorf("unlisted: got %s, want gone", got)
	}
	view.Tick(epoch.Add(partition + member.ForgetAfter))
	if _, ok := view.Member("b"); ok {
		t.Error("after ForgetAfter: got a record, want none")
	}
}

func TestUnlistedMemberWithLinkStays(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	view.LinkUp("b")
	view.SetVMList([]vm.VM{{Name: "vm-a", State: vm.Live}})
	view.Tick(epoch.Add(time.Hour))
	if got := stateOf(t, view, "b"); got != member.Live {
		t.Errorf("state: got %s, want live", got)
	}
}

func TestMemberOnLeavingVMIsDraining(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	view.SetVMList([]vm.VM{{Name: "vm-b", State: vm.Leaving}})
	if got := stateOf(t, view, "b"); got != member.Draining {
		t.Errorf("state: got %s, want draining", got)
	}
	view.SetVMList(nil)
	if got := stateOf(t, view, "b"); got != member.Draining {
		t.Errorf("after an empty list: got %s, want draining", got)
	}
}

func TestSuccessorAtSameAddressSupersedes(t *testing.T) {
	older, newer := memberNamed("old"), memberNamed("new")
	newer.PeerAddress = older.PeerAddress
	newer.Started = epoch.Add(time.Second)
	for _, order := range [][]member.Member{{older, newer}, {newer, older}} {
		view := viewOf("a", order...)
		if got := stateOf(t, view, "old"); got != member.Suspected {
			t.Errorf("older: got %s, want suspected", got)
		}
		if got := stateOf(t, view, "new"); got != member.Live {
			t.Errorf("newer: got %s, want live", got)
		}
		view.Tick(epoch.Add(member.GoneAfter))
		if got := stateOf(t, view, "old"); got != member.Gone {
			t.Errorf("older later: got %s, want gone", got)
		}
	}
}

func TestPredecessorWithFastClockIsSuperseded(t *testing.T) {
	fast := memberNamed("old")
	fast.PeerAddress = memberNamed("a").PeerAddress
	fast.Started = epoch.Add(time.Hour)
	view := viewOf("a", fast)
	if got := stateOf(t, view, "old"); got != member.Suspected {
		t.Errorf("older: got %s, want suspected", got)
	}
	if got := view.Self(); !got.Started.After(fast.Started) || got.Sequence != 2 {
		t.Errorf("self: got %+v, want a later start and sequence 2", got)
	}
}

// TestMergeOrderDoesNotMatter checks that views converge on the same digest when they
// merge the same records in different orders. Draining and live records never get the same
// sequence, because a process increases its sequence when it changes its state.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	states := []member.State{member.Live, member.Draining, member.Suspected, member.Gone}
	record := rapid.Custom(func(t *rapid.T) member.Member {
		drawn := memberNamed(rapid.SampledFrom([]ident.Incarnation{"b", "c", "d"}).Draw(t, "name"))
		drawn.State = rapid.SampledFrom(states).Draw(t, "state")
		drawn.Sequence = rapid.Int64Range(1, 4).Draw(t, "sequence")
		if drawn.State == member.Draining {
			drawn.Sequence += 10
		}
		return drawn
	})
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(record).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		base := []member.Member{memberNamed("b"), memberNamed("c"), memberNamed("d")}
		one, two := viewOf("a", base...), viewOf("a", base...)
		one.Merge(records, epoch)
		two.Merge(shuffled, epoch)
		if got, want := two.Digest(), one.Digest(); got != want {
			t.Errorf("digest: got %x, want %x", got, want)
		}
	})
}

func TestSeedsAreNearestLiveVMsWithoutMember(t *testing.T) {
	self := memberNamed("a")
	self.Locality = vm.Locality{Region: "west", AvailabilityZone: "west-a"}
	known := memberNamed("b")
	known.PeerAddress = "10.0.0.2:1"
	list := []vm.VM{
		{Name: "far", Address: "10.0.0.4", State: vm.Live, Locality: vm.Locality{Region: "east"}},
		{Name: "known", Address: "10.0.0.2", State: vm.Live, Locality: self.Locality},
		{Name: "near", Address: "10.0.0.3", State: vm.Live, Locality: self.Locality},
		{Name: "leaving", Address: "10.0.0.5", State: vm.Leaving, Locality: self.Locality},
	}
	address := func(machine vm.VM) string { return machine.Address + ":1" }
	got := member.SeedTargets([]member.Member{self, known}, self, list, address, 5)
	if len(got) != 2 || got[0].VM != "near" || got[1].VM != "far" {
		t.Errorf("seeds: got %+v, want near and far", got)
	}
	if got := member.SeedTargets(nil, self, list, address, 1); len(got) != 1 {
		t.Errorf("seeds: got %d, want 1", len(got))
	}
}

func TestDumpContainsLocalObservations(t *testing.T) {
	view := viewOf("a", memberNamed("b"))
	view.LinkUp("b")
	got := view.Dump()
	if len(got.Records) != 2 || got.Records[1].Member.Incarnation != "b" || !got.Records[1].Linked {
		t.Errorf("dump: got %+v, want a and b, b linked", got)
	}
	if got.Digest != view.Digest() || got.Self != "a" {
		t.Errorf("dump: got %s with %x, want a with %x", got.Self, got.Digest, view.Digest())
	}
}
