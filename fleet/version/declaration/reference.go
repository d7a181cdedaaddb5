package declaration

import (
	"fmt"
	"slices"
)

// checker validates one set and collects its faults.
type checker struct {
	set    Set
	faults []Fault

	// digestOwners maps each checked key digest to the name of its team.
	digestOwners map[string]string
	// The maps below hold the objects of the set by name.
	teams    map[string]Team
	budgets  map[string]Budget
	models   map[string]Model
	services map[string]Service
	pools    map[string]Pool
}

func newChecker(set Set) *checker {
	return &checker{
		set:          set,
		digestOwners: make(map[string]string),
		teams:        index(set.Teams, func(t Team) string { return t.Name }),
		budgets:      index(set.Budgets, func(b Budget) string { return b.Name }),
		models:       index(set.Models, func(m Model) string { return m.Name }),
		services:     index(set.Services, func(s Service) string { return s.Name }),
		pools:        index(set.Pools, func(p Pool) string { return p.Name }),
	}
}

func index[T any](objects []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(objects))
	for _, object := range objects {
		byName[name(object)] = object
	}
	return byName
}

// withField returns a copy of the fault for another field.
func (f Fault) withField(field string) Fault {
	f.Field = field
	return f
}

func (c *checker) addFault(fault Fault, format string, values ...any) {
	fault.Reason = fmt.Sprintf(format, values...)
	c.faults = append(c.faults, fault)
}

// checkReferences reports references to objects that are not declared or are of the wrong
// kind.
func (c *checker) checkReferences() {
	for _, team := range c.set.Teams {
		if _, ok := c.budgets[team.Budget]; !ok {
			fault := Fault{Kind: "team", Name: team.Name, Field: "budget"}
			c.addFault(fault, "budget %q is not declared", team.Budget)
		}
	}
	for _, model := range c.set.Models {
		c.checkEndpointPool(Fault{Kind: "model", Name: model.Name, Field: "pool"}, model.Pool)
	}
	for _, service := range c.set.Services {
		c.checkEndpointPool(Fault{Kind: "service", Name: service.Name, Field: "pool"}, service.Pool)
	}
	for _, route := range c.set.Routes {
		c.checkTarget(route)
		c.checkRouteTeams(route)
	}
}

func (c *checker) checkEndpointPool(fault Fault, name string) {
	pool, ok := c.pools[name]
	switch {
	case !ok:
		c.addFault(fault, "pool %q is not declared", name)
	case pool.Kind == EntryPool:
		c.addFault(fault, "pool %q is of kind %s, not %s", name, EntryPool, EndpointPool)
	}
}

func (c *checker) checkTarget(route Route) {
	fault := Fault{Kind: "route", Name: route.Name, Field: "target"}
	var declared bool
	switch route.Kind {
	case ModelRoute:
		_, declared = c.models[route.Target]
	case ServiceRoute:
		_, declared = c.services[route.Target]
	default:
		c.addFault(fault.withField("kind"), "%q is not %s or %s", route.Kind, ModelRoute, ServiceRoute)
		return
	}
	if !declared {
		c.addFault(fault, "%s %q is not declared", route.Kind, route.Target)
	}
}

func (c *checker) checkRouteTeams(route Route) {
	fault := Fault{Kind: "route", Name: route.Name, Field: "teams"}
	for i, name := range route.Teams {
		if _, ok := c.teams[name]; !ok {
			c.addFault(fault, "team %q is not declared", name)
		}
		if slices.Contains(route.Teams[:i], name) {
			c.addFault(fault, "team %q is named twice", name)
		}
	}
}

// checkAffordability reports each budget whose purchased total is below the price of
// every request that a team of that budget can send.
func (c *checker) checkAffordability() {
	for _, team := range c.set.Teams {
		budget, ok := c.budgets[team.Budget]
		if !ok {
			continue
		}
		cheapest, ok := c.cheapestRequest(team.Name)
		if ok && cheapest > budget.Purchased {
			fault := Fault{Kind: "budget", Name: budget.Name, Field: "purchased"}
			c.addFault(fault, "%d does not pay one request of team %s, which costs at least %d",
				budget.Purchased, team.Name, cheapest)
		}
	}
}

// cheapestRequest returns the lowest price in credits of a request on the routes of the
// team. It returns false if no such price is known.
func (c *checker) cheapestRequest(team string) (int64, bool) {
	var prices []int64
	for _, route := range c.set.Routes {
		if len(route.Teams) > 0 && !slices.Contains(route.Teams, team) {
			continue
		}
		if price, ok := c.minimumPrice(route); ok {
			prices = append(prices, price)
		}
	}
	if len(prices) == 0 {
		return 0, false
	}
	return slices.Min(prices), true
}

// minimumPrice returns the lowest price in credits of a request on the route: one call of
// a service, or one input token and the default output of a model. It returns false if
// the target is not declared, its output price is below one or the price of the output
// would exceed MaxCredits.
func (c *checker) minimumPrice(route Route) (int64, bool) {
	if route.Kind == ServiceRoute {
		service, ok := c.services[route.Target]
		return service.Price, ok
	}
	model, ok := c.models[route.Target]
	if !ok || model.OutputPrice < 1 || model.DefaultOutput > MaxCredits/model.OutputPrice {
		return 0, false
	}
	return model.InputPrice + model.DefaultOutput*model.OutputPrice, true
}
