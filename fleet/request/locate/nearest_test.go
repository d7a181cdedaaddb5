package locate_test

import (
	"slices"
	"testing"

	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/locate"
)

var hall = vm.Locality{Region: "western", AvailabilityZone: "hall"}

func at(region, zone, name string, state member.State) member.Member {
	made := router(region, 1, state)
	made.Incarnation = "i-" + made.Incarnation + "-" + member.Member{VM: name}.Incarnation
	made.VM, made.CallerAddress, made.AvailabilityZone = name, name, zone
	return made
}

// strong returns the router with more power than the others.
func strong(router member.Member) member.Member {
	router.Power = 4
	return router
}

func TestNearest(t *testing.T) {
	query := locate.NearestQuery{Locality: hall}
	tests := []struct {
		name    string
		members []member.Member
		want    []string
	}{
		{"own availability zone first", []member.Member{
			at("western", "hall", "a", member.Live), at("western", "yard", "b", member.Live), at("central", "depot", "c", member.Live),
		}, []string{"a"}},
		{"own region next", []member.Member{
			at("western", "yard", "b", member.Live), at("central", "depot", "c", member.Live),
		}, []string{"b"}},
		{"any region last", []member.Member{at("central", "depot", "c", member.Live)}, []string{"c"}},
		{"not draining, failed or suspected", []member.Member{
			at("western", "hall", "a", member.Live), at("western", "hall", "b", member.Live), at("western", "hall", "c", member.Draining),
			at("western", "hall", "d", member.Gone), at("western", "hall", "e", member.Suspected),
		}, []string{"a", "b"}},
		{"suspected if at least as many as live", []member.Member{
			at("western", "hall", "a", member.Live), at("western", "hall", "b", member.Suspected), at("western", "hall", "c", member.Suspected),
		}, []string{"a", "b"}},
		{"preferred routers only", []member.Member{
			at("western", "hall", "a", member.Live), strong(at("western", "hall", "b", member.Live)), at("western", "hall", "c", member.Live),
			strong(at("western", "hall", "d", member.Live)), at("western", "hall", "e", member.Live),
		}, []string{"b", "d"}},
		{"no members", nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := locate.Nearest(test.members, query); !slices.Equal(got, test.want) {
				t.Errorf("addresses: got %v, want %v", got, test.want)
			}
		})
	}
}

// A process that was restarted at the same address is live there. Its predecessor, which
// is still suspected, must not be returned as a second router with that address.
func TestNearestOmitsPredecessors(t *testing.T) {
	old, fresh := at("western", "hall", "a", member.Suspected), at("western", "hall", "a", member.Live)
	old.Incarnation = "old"
	got := locate.Nearest([]member.Member{old, fresh}, locate.NearestQuery{Locality: hall})
	if want := []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("addresses: got %v, want %v", got, want)
	}
}
