package declaration

import (
	"fmt"
	"slices"
)

// checker gathers the faults of one set.
type checker struct {
	set    Set
	faults []Fault

	owners   map[string]string
	teams    map[string]Team
	budgets  map[string]Budget
	models   map[string]Model
	services map[string]Service
	pools    map[string]Pool
}

func newChecker(set Set) *checker {
	return &checker{
		set:      set,
		owners:   make(map[string]string),
		teams:    index(set.Teams, func(t Team) string { return t.Name }),
		budgets:  index(set.Budgets, func(b Budget) string { return b.Name }),
		models:   index(set.Models, func(m Model) string { return m.Name }),
		services: index(set.Services, func(s Service) string { return s.Name }),
		pools:    index(set.Pools, func(p Pool) string { return p.Name }),
	}
}

func index[T any](objects []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(objects))
	for _, object := range objects {
		byName[name(object)] = object
	}
	return byName
}

// at returns the fault moved to another field.
func (f Fault) at(field string) Fault {
	f.Field = field
	return f
}

func (c *checker) add(at Fault, format string, values ...any) {
	at.Reason = fmt.Sprintf(format, values...)
	c.faults = append(c.faults, at)
}

func (c *checker) references() {
	for _, team := range c.set.Teams {
		if _, ok := c.budgets[team.Budget]; !ok {
			at := Fault{Kind: "team", Name: team.Name, Field: "budget"}
			c.add(at, "budget %q is not declared", team.Budget)
		}
	}
	for _, model := range c.set.Models {
		c.endpointPool(Fault{Kind: "model", Name: model.Name, Field: "pool"}, model.Pool)
	}
	for _, service := range c.set.Services {
		c.endpointPool(Fault{Kind: "service", Name: service.Name, Field: "pool"}, service.Pool)
	}
	for _, route := range c.set.Routes {
		c.target(route)
		c.members(route)
	}
}

func (c *checker) endpointPool(at Fault, name string) {
	pool, ok := c.pools[name]
	switch {
	case !ok:
		c.add(at, "pool %q is not declared", name)
	case pool.Kind == EntryPool:
		c.add(at, "pool %q is of kind %s, not %s", name, EntryPool, EndpointPool)
	}
}

func (c *checker) target(route Route) {
	at := Fault{Kind: "route", Name: route.Name, Field: "target"}
	var known bool
	switch route.Kind {
	case ToModel:
		_, known = c.models[route.Target]
	case ToService:
		_, known = c.services[route.Target]
	default:
		c.add(at.at("kind"), "%q is not %s or %s", route.Kind, ToModel, ToService)
		return
	}
	if !known {
		c.add(at, "%s %q is not declared", route.Kind, route.Target)
	}
}

func (c *checker) members(route Route) {
	at := Fault{Kind: "route", Name: route.Name, Field: "teams"}
	for i, name := range route.Teams {
		if _, ok := c.teams[name]; !ok {
			c.add(at, "team %q is not declared", name)
		}
		if slices.Contains(route.Teams[:i], name) {
			c.add(at, "team %q is named twice", name)
		}
	}
}

// affordable refuses a budget that pays no request on any route of a team that
// draws on it.
func (c *checker) affordable() {
	for _, team := range c.set.Teams {
		budget, ok := c.budgets[team.Budget]
		if !ok {
			continue
		}
		cheapest, ok := c.cheapest(team.Name)
		if ok && cheapest > budget.Purchased {
			at := Fault{Kind: "budget", Name: budget.Name, Field: "purchased"}
			c.add(at, "%d does not pay one request of team %s, which costs at least %d",
				budget.Purchased, team.Name, cheapest)
		}
	}
}

// cheapest returns the lowest price of a request on the team's routes.
func (c *checker) cheapest(team string) (int64, bool) {
	var prices []int64
	for _, route := range c.set.Routes {
		if len(route.Teams) > 0 && !slices.Contains(route.Teams, team) {
			continue
		}
		if price, ok := c.price(route); ok {
			prices = append(prices, price)
		}
	}
	if len(prices) == 0 {
		return 0, false
	}
	return slices.Min(prices), true
}

// price returns what the smallest request on the route can cost: one call, or
// one token in and the default output.
func (c *checker) price(route Route) (int64, bool) {
	if route.Kind == ToService {
		service, ok := c.services[route.Target]
		return service.Price, ok
	}
	model, ok := c.models[route.Target]
	if !ok || model.OutputPrice < 1 || model.DefaultOutput > MaxCredits/model.OutputPrice {
		return 0, false
	}
	return model.InputPrice + model.DefaultOutput*model.OutputPrice, true
}
