package declaration

import (
	"cmp"
	"maps"
	"slices"
)

// Difference names a field that differs between two sets. An empty Field means
// that the whole object was added, when Before is empty, or removed.
type Difference struct {
	Kind   string `json:"object"`
	Name   string `json:"name"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// present stands for an object in a Difference of a whole object.
const present = "declared"

// Diff returns what changed from a to b, by kind, name and field. Retired
// budgets are not compared.
func Diff(a, b Set) []Difference {
	var differences []Difference
	for _, kind := range kinds() {
		differences = append(differences, kind.diff(&a, &b)...)
	}
	return differences
}

func (k kind[T]) diff(a, b *Set) []Difference {
	before, after := k.byName(a), k.byName(b)
	names := slices.Concat(slices.Collect(maps.Keys(before)), slices.Collect(maps.Keys(after)))
	slices.SortFunc(names, cmp.Compare)
	var differences []Difference
	for _, name := range slices.Compact(names) {
		differences = append(differences, k.compare(name, before[name], after[name])...)
	}
	return differences
}

func (k kind[T]) byName(set *Set) map[string]*T {
	objects := make(map[string]*T)
	members := *k.members(set)
	for i := range members {
		objects[*k.name(&members[i])] = &members[i]
	}
	return objects
}

func (k kind[T]) compare(name string, before, after *T) []Difference {
	switch {
	case before == nil:
		return []Difference{{Kind: k.object, Name: name, After: present}}
	case after == nil:
		return []Difference{{Kind: k.object, Name: name, Before: present}}
	}
	var differences []Difference
	for _, field := range k.fields {
		old, updated := field.format(before), field.format(after)
		if old != updated {
			differences = append(differences, Difference{k.object, name, field.name, old, updated})
		}
	}
	return differences
}
