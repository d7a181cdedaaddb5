package declaration

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of declared values.
const (
	// MaxCredits is the largest amount of credits that is exact in any JSON
	// reader.
	MaxCredits = 1 << 53
	// MaxPrice is the largest price in credits of a token.
	MaxPrice = 1 << 31
	// MaxCount is the largest number of requests that may be open at once.
	MaxCount = 1 << 20
	// MaxWeight is the largest weight of a team.
	MaxWeight = 1000
	// MaxPort is the largest TCP port.
	MaxPort = 1<<16 - 1
	// MinTimeout is the shortest timeout.
	MinTimeout = 10 * time.Millisecond
	// MaxTimeout is the longest timeout.
	MaxTimeout = time.Hour
)

var (
	validName   = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	validDigest = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check returns everything that is wrong with a set, sorted. With a
// predecessor it also refuses purchased totals that would go down.
func Check(set Set, predecessor *Set) []Fault {
	checker := newChecker(set)
	for _, kind := range kinds() {
		checker.faults = append(checker.faults, kind.duplicates(&set)...)
	}
	checker.names()
	checker.values()
	checker.references()
	checker.affordable()
	if predecessor != nil {
		checker.faults = append(checker.faults, checkSuccession(set, *predecessor)...)
	}
	return sortFaults(checker.faults)
}

func lowered(before, after int64) string {
	return fmt.Sprintf("%d is below the %d already purchased", after, before)
}

func (c *checker) names() {
	for _, team := range c.set.Teams {
		c.name("team", team.Name)
	}
	for _, budget := range c.set.Budgets {
		c.name("budget", budget.Name)
	}
	for _, model := range c.set.Models {
		c.name("model", model.Name)
	}
	for _, service := range c.set.Services {
		c.name("service", service.Name)
	}
	for _, route := range c.set.Routes {
		c.name("route", route.Name)
	}
	for _, pool := range c.set.Pools {
		c.name("pool", pool.Name)
	}
}

func (c *checker) values() {
	for _, team := range c.set.Teams {
		c.team(team)
	}
	for _, budget := range c.set.Budgets {
		c.within(Fault{Kind: "budget", Name: budget.Name, Field: "purchased"}, budget.Purchased, MaxCredits)
	}
	for _, model := range c.set.Models {
		c.model(model)
	}
	for _, service := range c.set.Services {
		at := Fault{Kind: "service", Name: service.Name}
		c.within(at.at("price"), service.Price, MaxCredits)
		c.timeout(at.at("timeout"), service.Timeout, MaxTimeout)
	}
	for _, pool := range c.set.Pools {
		c.pool(pool)
	}
	c.paths()
}

// CheckPaths returns what is wrong with the paths of a set, sorted.
func CheckPaths(set Set) []Fault {
	checker := newChecker(set)
	checker.paths()
	return sortFaults(checker.faults)
}

func (c *checker) paths() {
	for _, path := range c.set.Paths {
		c.path(path)
	}
}

func (c *checker) path(path Path) {
	at := Fault{Kind: "path", Name: path.Name}
	if !slices.Contains([]PathKind{SafePath, UnsafePath, StreamPath}, path.Kind) {
		c.add(at.at("kind"), "%q is not %s, %s or %s", path.Kind, SafePath, UnsafePath, StreamPath)
	}
	if path.Host == "" {
		c.add(at.at("host"), "missing")
	}
	if !strings.HasPrefix(path.Prefix, "/") || !strings.HasSuffix(path.Prefix, "/") {
		c.add(at.at("prefix"), "%q does not begin and end with a slash", path.Prefix)
	}
	c.timeout(at.at("timeout"), path.Timeout, MaxTimeout)
	c.within(at.at("attempts"), int64(path.Attempts), MaxCount)
	c.backends(path)
}

// backends refuses a path that leads nowhere.
func (c *checker) backends(path Path) {
	at := Fault{Kind: "path", Name: path.Name, Field: "backends"}
	total := 0
	for _, backend := range path.Backends {
		if backend.Weight < 0 {
			c.add(at, "the weight of %s is negative", backend.Pool)
		}
		if !slices.ContainsFunc(c.set.Pools, func(p Pool) bool { return p.Name == backend.Pool }) {
			c.add(at, "pool %s is not declared", backend.Pool)
		}
		total += backend.Weight
	}
	if total == 0 {
		c.add(at, "no pool has a weight")
	}
}

func (c *checker) team(team Team) {
	at := Fault{Kind: "team", Name: team.Name}
	c.within(at.at("max_concurrent"), int64(team.MaxConcurrent), MaxCount)
	c.within(at.at("weight"), int64(team.Weight), MaxWeight)
	if len(team.KeyDigests) == 0 {
		c.add(at.at("key_digests"), "missing")
	}
	for _, digest := range team.KeyDigests {
		c.digest(team, digest)
	}
}

func (c *checker) digest(team Team, digest string) {
	at := Fault{Kind: "team", Name: team.Name, Field: "key_digests"}
	if !validDigest.MatchString(digest) {
		c.add(at, "%q is not a SHA-256 digest in lower-case hex", digest)
		return
	}
	owner, taken := c.owners[digest]
	if taken {
		c.add(at, "digest %s is also a key of team %s", digest, owner)
		return
	}
	c.owners[digest] = team.Name
}

func (c *checker) model(model Model) {
	at := Fault{Kind: "model", Name: model.Name}
	c.within(at.at("input_price"), model.InputPrice, MaxPrice)
	c.within(at.at("output_price"), model.OutputPrice, MaxPrice)
	c.within(at.at("max_output"), model.MaxOutput, MaxCredits)
	c.within(at.at("default_output"), model.DefaultOutput, MaxCredits)
	c.timeout(at.at("timeout"), model.Timeout, MaxTimeout)
	c.timeout(at.at("stall"), model.StallTimeout, MaxTimeout)
	if model.DefaultOutput > model.MaxOutput {
		c.add(at.at("default_output"), "%d is above max_output %d", model.DefaultOutput, model.MaxOutput)
	}
	if model.StallTimeout > model.Timeout {
		c.add(at.at("stall"), "%s is above timeout %s", model.StallTimeout, model.Timeout)
	}
	if model.OutputPrice > 0 && model.MaxOutput > MaxCredits/model.OutputPrice {
		c.add(at.at("max_output"), "max_output times output_price is above %d credits", int64(MaxCredits))
	}
}

func (c *checker) pool(pool Pool) {
	at := Fault{Kind: "pool", Name: pool.Name}
	c.within(at.at("port"), int64(pool.Port), MaxPort)
	c.within(at.at("max_in_flight"), int64(pool.MaxInFlight), MaxCount)
	if !slices.Contains([]PoolKind{EntryPool, EndpointPool}, pool.Kind) {
		c.add(at.at("kind"), "%q is not %s or %s", pool.Kind, EntryPool, EndpointPool)
	}
}

// within refuses values below one and above the limit.
func (c *checker) within(at Fault, value, limit int64) {
	if value < 1 || value > limit {
		c.add(at, "%d is not between 1 and %d", value, limit)
	}
}

func (c *checker) timeout(at Fault, timeout, limit time.Duration) {
	if timeout < MinTimeout || timeout > limit {
		c.add(at, "%s is not between %s and %s", timeout, MinTimeout, limit)
	}
}

func (c *checker) name(object, name string) {
	if !validName.MatchString(name) {
		c.add(Fault{Kind: object, Name: name}, "name does not match %s", validName)
	}
}
