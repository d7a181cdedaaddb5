package member_test

import (
	"slices"
	"testing"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
)

func TestPreferredRouters(t *testing.T) {
	tests := []struct {
		name   string
		powers []float64
		want   []string
	}{
		{"no members", nil, nil},
		{"one member", []float64{0.4}, []string{"a"}},
		{"two of three equal members", []float64{0.4, 0.4, 0.4}, []string{"a", "b"}},
		{"a third of many equal members", []float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, []string{"a", "b", "c"}},
		{"the strong members", []float64{0.2, 0.8, 0.2, 0.8, 0.2, 0.2}, []string{"b", "d"}},
		{"a weak member beside a single strong one", []float64{0.2, 0.8, 0.2, 0.2}, []string{"b", "a"}},
		{"power not reported", []float64{0, 0, 0}, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var members []member.Member
			for index, power := range test.powers {
				name := string(rune('a' + index))
				members = append(members, member.Member{VM: name, Incarnation: ident.Incarnation(name), Power: power})
			}
			slices.Reverse(members)
			var got []string
			for _, router := range member.PreferredRouters(members) {
				got = append(got, router.VM)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("preferred routers: got %v, want %v", got, test.want)
			}
		})
	}
}
