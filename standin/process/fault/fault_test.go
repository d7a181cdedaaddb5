package fault_test

import (
	"slices"
	"testing"

	"jacinthpaddle.example/standin/process/fault"
)

func TestNext(t *testing.T) {
	tests := []struct {
		name  string
		times int
		want  []string
	}{
		{"until replaced", 0, []string{"cut", "cut", "cut"}},
		{"once", 1, []string{"cut", "", ""}},
		{"twice", 2, []string{"cut", "cut", ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var faults fault.Injector[string]
			faults.Set("cut", test.times)
			got := []string{faults.Next(), faults.Next(), faults.Next()}
			if !slices.Equal(got, test.want) {
				t.Errorf("faults: got %q, want %q", got, test.want)
			}
		})
	}
}
