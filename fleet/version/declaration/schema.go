package declaration

import (
	"cmp"
	"slices"
	"time"
)

// DefaultValues holds the default values of optional keys.
type DefaultValues struct {
	Team    Team
	Model   Model
	Service Service
	Pool    Pool
}

// NewDefaultValues returns the default values of optional keys.
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

// objectSchema describes a kind of object that is declared as a section of an INI file
// and decoded to a T.
type objectSchema[T any] struct {
	// kind is the first word of the section name.
	kind     string
	defaults T
	// nameOf returns the address of the name of an object.
	nameOf func(*T) *string
	// objects returns the address of the objects of this kind in a set.
	objects func(*Set) *[]T
	fields  []field[T]
}

// schema is an objectSchema of any type.
type schema interface {
	kindName() string
	addObject(set *Set, declared section) []Fault
	sort(set *Set)
	duplicates(set *Set) []Fault
	diff(a, b *Set) []Difference
}

// schemas returns the schemas of all kinds in the order in which Diff lists them. Paths
// have none, since Load does not read paths.
func schemas() []schema {
	defaults := NewDefaultValues()
	return []schema{
		teamSchema(defaults.Team),
		budgetSchema(),
		modelSchema(defaults.Model),
		serviceSchema(defaults.Service),
		routeSchema(),
		poolSchema(defaults.Pool),
	}
}

func teamSchema(defaults Team) objectSchema[Team] {
	return objectSchema[Team]{
		kind:     "team",
		defaults: defaults,
		nameOf:   func(t *Team) *string { return &t.Name },
		objects:  func(s *Set) *[]Team { return &s.Teams },
		fields: []field[Team]{
			textField("budget", func(t *Team) *string { return &t.Budget }).asRequired(),
			listField("key_digests", func(t *Team) *[]string { return &t.KeyDigests }).asRequired(),
			countField("max_concurrent", func(t *Team) *int { return &t.MaxConcurrent }),
			countField("weight", func(t *Team) *int { return &t.Weight }),
			listField(regionsField, func(t *Team) *[]string { return &t.Regions }),
		},
	}
}

func budgetSchema() objectSchema[Budget] {
	return objectSchema[Budget]{
		kind:    "budget",
		nameOf:  func(b *Budget) *string { return &b.Name },
		objects: func(s *Set) *[]Budget { return &s.Budgets },
		fields: []field[Budget]{
			amountField("purchased", func(b *Budget) *int64 { return &b.Purchased }).asRequired(),
		},
	}
}

func modelSchema(defaults Model) objectSchema[Model] {
	return objectSchema[Model]{
		kind:     "model",
		defaults: defaults,
		nameOf:   func(m *Model) *string { return &m.Name },
		objects:  func(s *Set) *[]Model { return &s.Models },
		fields: []field[Model]{
			textField("pool", func(m *Model) *string { return &m.Pool }).asRequired(),
			amountField("input_price", func(m *Model) *int64 { return &m.InputPrice }).asRequired(),
			amountField("output_price", func(m *Model) *int64 { return &m.OutputPrice }).asRequired(),
			amountField("default_output", func(m *Model) *int64 { return &m.DefaultOutput }),
			amountField("max_output", func(m *Model) *int64 { return &m.MaxOutput }),
			durationField("timeout", func(m *Model) *time.Duration { return &m.Timeout }),
			durationField("stall", func(m *Model) *time.Duration { return &m.StallTimeout }),
		},
	}
}

func serviceSchema(defaults Service) objectSchema[Service] {
	return objectSchema[Service]{
		kind:     "service",
		defaults: defaults,
		nameOf:   func(s *Service) *string { return &s.Name },
		objects:  func(s *Set) *[]Service { return &s.Services },
		fields: []field[Service]{
			textField("pool", func(s *Service) *string { return &s.Pool }).asRequired(),
			amountField("price", func(s *Service) *int64 { return &s.Price }).asRequired(),
			boolField("idempotent", func(s *Service) *bool { return &s.Idempotent }),
			durationField("timeout", func(s *Service) *time.Duration { return &s.Timeout }),
		},
	}
}

func routeSchema() objectSchema[Route] {
	return objectSchema[Route]{
		kind:    "route",
		nameOf:  func(r *Route) *string { return &r.Name },
		objects: func(s *Set) *[]Route { return &s.Routes },
		fields: []field[Route]{
			textField("kind", func(r *Route) *RouteKind { return &r.Kind }).asRequired(),
			textField("target", func(r *Route) *string { return &r.Target }).asRequired(),
			listField("teams", func(r *Route) *[]string { return &r.Teams }),
			listField(regionsField, func(r *Route) *[]string { return &r.Regions }),
		},
	}
}

func poolSchema(defaults Pool) objectSchema[Pool] {
	return objectSchema[Pool]{
		kind:     "pool",
		defaults: defaults,
		nameOf:   func(p *Pool) *string { return &p.Name },
		objects:  func(s *Set) *[]Pool { return &s.Pools },
		fields: []field[Pool]{
			textField("kind", func(p *Pool) *PoolKind { return &p.Kind }).asRequired(),
			countField("port", func(p *Pool) *int { return &p.Port }).asRequired(),
			countField("max_in_flight", func(p *Pool) *int { return &p.MaxInFlight }),
			rateField("cold_rate", func(p *Pool) *float64 { return &p.ColdRate }),
			durationField("cold_time", func(p *Pool) *time.Duration { return &p.ColdTime }),
		},
	}
}

// kindName returns the first word of the section name.
func (s objectSchema[T]) kindName() string {
	return s.kind
}

// addObject decodes the section, appends the object to the set and returns the faults of
// its keys. A field whose key is invalid keeps its default.
func (s objectSchema[T]) addObject(set *Set, declared section) []Fault {
	object := s.defaults
	*s.nameOf(&object) = declared.name
	var faults []Fault
	for _, field := range s.fields {
		if reason := decodeField(&object, field, declared); reason != "" {
			faults = append(faults, Fault{s.kind, declared.name, field.name, reason})
		}
	}
	for _, key := range declared.keys {
		if !slices.ContainsFunc(s.fields, func(f field[T]) bool { return f.name == key.name }) {
			faults = append(faults, Fault{s.kind, declared.name, key.name, "unknown key"})
		}
	}
	objects := s.objects(set)
	*objects = append(*objects, object)
	return faults
}

// decodeField sets the field from the section and returns the reason of a fault, or an
// empty string.
func decodeField[T any](object *T, field field[T], declared section) string {
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
func (s objectSchema[T]) sort(set *Set) {
	slices.SortStableFunc(*s.objects(set), func(a, b T) int {
		return cmp.Compare(*s.nameOf(&a), *s.nameOf(&b))
	})
}

// duplicates returns a fault for each name that is used more than once.
func (s objectSchema[T]) duplicates(set *Set) []Fault {
	var faults []Fault
	seen := make(map[string]bool)
	for _, object := range *s.objects(set) {
		name := *s.nameOf(&object)
		if seen[name] {
			faults = append(faults, Fault{s.kind, name, "", "declared more than once"})
		}
		seen[name] = true
	}
	return faults
}
