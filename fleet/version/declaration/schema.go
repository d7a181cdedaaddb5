package declaration

import (
	"cmp"
	"slices"
	"time"
)

// DefaultValues holds the values of keys that a declaration leaves out.
type DefaultValues struct {
	Team    Team
	Model   Model
	Service Service
	Pool    Pool
}

// NewDefaultValues returns the values of keys that a declaration leaves out.
func NewDefaultValues() DefaultValues {
	return DefaultValues{
		Team: Team{MaxConcurrent: 64, Weight: 1},
		Model: Model{
			DefaultOutput: 512,
			MaxOutput:     4096,
			Timeout:       2 * time.Minute,
			StallTimeout:  15 * time.Second,
		},
		Service: Service{Timeout: 10 * time.Second},
		Pool:    Pool{MaxInFlight: 64},
	}
}

// kind describes one kind of object of type T.
type kind[T any] struct {
	object   string
	defaults T
	name     func(*T) *string
	members  func(*Set) *[]T
	fields   []field[T]
}

// objectKind is a kind whose type does not matter.
type objectKind interface {
	objectName() string
	read(set *Set, declared section) []Fault
	sort(set *Set)
	duplicates(set *Set) []Fault
	diff(a, b *Set) []Difference
}

// kinds returns every kind, in the order of reports.
func kinds() []objectKind {
	defaults := NewDefaultValues()
	return []objectKind{
		teamKind(defaults.Team),
		budgetKind(),
		modelKind(defaults.Model),
		serviceKind(defaults.Service),
		routeKind(),
		poolKind(defaults.Pool),
	}
}

func teamKind(defaults Team) kind[Team] {
	return kind[Team]{
		object:   "team",
		defaults: defaults,
		name:     func(t *Team) *string { return &t.Name },
		members:  func(s *Set) *[]Team { return &s.Teams },
		fields: []field[Team]{
			textField("budget", func(t *Team) *string { return &t.Budget }).need(),
			listField("key_digests", func(t *Team) *[]string { return &t.KeyDigests }).need(),
			countField("max_concurrent", func(t *Team) *int { return &t.MaxConcurrent }),
			countField("weight", func(t *Team) *int { return &t.Weight }),
		},
	}
}

func budgetKind() kind[Budget] {
	return kind[Budget]{
		object:  "budget",
		name:    func(b *Budget) *string { return &b.Name },
		members: func(s *Set) *[]Budget { return &s.Budgets },
		fields: []field[Budget]{
			amountField("purchased", func(b *Budget) *int64 { return &b.Purchased }).need(),
		},
	}
}

func modelKind(defaults Model) kind[Model] {
	return kind[Model]{
		object:   "model",
		defaults: defaults,
		name:     func(m *Model) *string { return &m.Name },
		members:  func(s *Set) *[]Model { return &s.Models },
		fields: []field[Model]{
			textField("pool", func(m *Model) *string { return &m.Pool }).need(),
			amountField("input_price", func(m *Model) *int64 { return &m.InputPrice }).need(),
			amountField("output_price", func(m *Model) *int64 { return &m.OutputPrice }).need(),
			amountField("default_output", func(m *Model) *int64 { return &m.DefaultOutput }),
			amountField("max_output", func(m *Model) *int64 { return &m.MaxOutput }),
			durationField("timeout", func(m *Model) *time.Duration { return &m.Timeout }),
			durationField("stall", func(m *Model) *time.Duration { return &m.StallTimeout }),
		},
	}
}

func serviceKind(defaults Service) kind[Service] {
	return kind[Service]{
		object:   "service",
		defaults: defaults,
		name:     func(s *Service) *string { return &s.Name },
		members:  func(s *Set) *[]Service { return &s.Services },
		fields: []field[Service]{
			textField("pool", func(s *Service) *string { return &s.Pool }).need(),
			amountField("price", func(s *Service) *int64 { return &s.Price }).need(),
			boolField("idempotent", func(s *Service) *bool { return &s.Idempotent }),
			durationField("timeout", func(s *Service) *time.Duration { return &s.Timeout }),
		},
	}
}

func routeKind() kind[Route] {
	return kind[Route]{
		object:  "route",
		name:    func(r *Route) *string { return &r.Name },
		members: func(s *Set) *[]Route { return &s.Routes },
		fields: []field[Route]{
			textField("kind", func(r *Route) *RouteKind { return &r.Kind }).need(),
			textField("target", func(r *Route) *string { return &r.Target }).need(),
			listField("teams", func(r *Route) *[]string { return &r.Teams }),
		},
	}
}

func poolKind(defaults Pool) kind[Pool] {
	return kind[Pool]{
		object:   "pool",
		defaults: defaults,
		name:     func(p *Pool) *string { return &p.Name },
		members:  func(s *Set) *[]Pool { return &s.Pools },
		fields: []field[Pool]{
			textField("kind", func(p *Pool) *PoolKind { return &p.Kind }).need(),
			countField("port", func(p *Pool) *int { return &p.Port }).need(),
			countField("max_in_flight", func(p *Pool) *int { return &p.MaxInFlight }),
		},
	}
}

// objectName returns the word that starts a section of the kind.
func (k kind[T]) objectName() string {
	return k.object
}

// read appends the declared object to the set and returns what is wrong with
// its keys. A key that cannot be read keeps its default.
func (k kind[T]) read(set *Set, declared section) []Fault {
	object := k.defaults
	*k.name(&object) = declared.name
	var faults []Fault
	for _, field := range k.fields {
		if reason := readField(&object, field, declared); reason != "" {
			faults = append(faults, Fault{k.object, declared.name, field.name, reason})
		}
	}
	for _, key := range declared.keys {
		if !slices.ContainsFunc(k.fields, func(f field[T]) bool { return f.name == key.name }) {
			faults = append(faults, Fault{k.object, declared.name, key.name, "unknown key"})
		}
	}
	members := k.members(set)
	*members = append(*members, object)
	return faults
}

func readField[T any](object *T, field field[T], declared section) string {
	values := declared.values(field.name)
	switch {
	case len(values) > 1:
		return "declared more than once"
	case len(values) == 0 && field.required:
		return "missing"
	case len(values) == 0:
		return ""
	case values[0] == "":
		return "empty"
	}
	if err := field.parse(object, values[0]); err != nil {
		return err.Error()
	}
	return ""
}

// sort orders the objects of the kind by name.
func (k kind[T]) sort(set *Set) {
	slices.SortStableFunc(*k.members(set), func(a, b T) int {
		return cmp.Compare(*k.name(&a), *k.name(&b))
	})
}

// duplicates returns a fault for each name that is used more than once.
func (k kind[T]) duplicates(set *Set) []Fault {
	var faults []Fault
	seen := make(map[string]bool)
	for _, object := range *k.members(set) {
		name := *k.name(&object)
		if seen[name] {
			faults = append(faults, Fault{k.object, name, "", "declared more than once"})
		}
		seen[name] = true
	}
	return faults
}
