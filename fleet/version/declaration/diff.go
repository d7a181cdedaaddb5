package declaration

import (
	"cmp"
	"maps"
	"slices"
)

// Difference is a field that differs between two sets, or an object that only one of them
// has.
type Difference struct {
	// Kind is the kind of the object, such as "team".
	Kind string `json:"object"`
	Name string `json:"name"`
	// Field is empty if the whole object was added, in which case Before is empty too, or
	// removed, in which case After is.
	Field  string `json:"field,omitempty"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// presentValue replaces Before or After, whichever set has the object, in a Difference of a
// whole object.
const presentValue = "declared"

// Diff returns the changes from a to b, ordered by kind and name. Paths and retired
// budgets are not compared.
func Diff(a, b Set) []Difference {
	var differences []Difference
	for _, s := range schemas() {
		differences = append(differences, s.diff(&a, &b)...)
	}
	return differences
}

func (s objectSchema[T]) diff(a, b *Set) []Difference {
	before, after := s.objectsByName(a), s.objectsByName(b)
	names := slices.Concat(slices.Collect(maps.Keys(before)), slices.Collect(maps.Keys(after)))
	slices.SortFunc(names, cmp.Compare)
	var differences []Difference
	for _, name := range slices.Compact(names) {
		differences = append(differences, s.compare(name, before[name], after[name])...)
	}
	return differences
}

func (s objectSchema[T]) objectsByName(set *Set) map[string]*T {
	objects := make(map[string]*T)
	all := *s.objects(set)
	for i := range all {
		objects[*s.nameOf(&all[i])] = &all[i]
	}
	return objects
}

func (s objectSchema[T]) compare(name string, before, after *T) []Difference {
	switch {
	case before == nil:
		return []Difference{{Kind: s.kind, Name: name, After: presentValue}}
	case after == nil:
		return []Difference{{Kind: s.kind, Name: name, Before: presentValue}}
	}
	var differences []Difference
	for _, field := range s.fields {
		oldValue, newValue := field.format(before), field.format(after)
		if oldValue != newValue {
			differences = append(differences, Difference{s.kind, name, field.name, oldValue, newValue})
		}
	}
	return differences
}
