package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FaultsError lists the faults of a set, sorted by kind, name, field and reason.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "; ")
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s %s: %s", f.Kind, f.Name, f.Reason)
	}
	return fmt.Sprintf("%s %s: %s: %s", f.Kind, f.Name, f.Field, f.Reason)
}

func compareFaults(a, b Fault) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Field, b.Field),
		cmp.Compare(a.Reason, b.Reason),
	)
}

// sortUniqueFaults sorts the faults in place and drops equal ones.
func sortUniqueFaults(faults []Fault) []Fault {
	slices.SortFunc(faults, compareFaults)
	return slices.Compact(faults)
}

// mergeFaults returns the earlier faults and those later faults whose field has no
// earlier one: a field that cannot be parsed is reported only once.
func mergeFaults(earlier, later []Fault) []Fault {
	merged := slices.Clone(earlier)
	for _, fault := range later {
		if !slices.ContainsFunc(earlier, fault.sameField) {
			merged = append(merged, fault)
		}
	}
	return sortUniqueFaults(merged)
}

func (f Fault) sameField(other Fault) bool {
	return f.Kind == other.Kind && f.Name == other.Name && f.Field == other.Field
}
