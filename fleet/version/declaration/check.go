package declaration

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of declared values.
const (
	// MaxCredits is the largest amount of credits. JSON decoders that use float64 represent
	// integers exactly up to this value.
	MaxCredits = 1 << 53
	// MaxPrice is the largest price of a token, in credits.
	MaxPrice = 1 << 31
	// MaxCount is the largest concurrency limit and the largest number of attempts.
	MaxCount = 1 << 20
	// MaxWeight is the largest weight of a team.
	MaxWeight = 1000
	MaxPort   = 1<<16 - 1
	// MinRate is the lowest rate, in requests per second.
	MinRate    = 0.001
	MinTimeout = 10 * time.Millisecond
	MaxTimeout = time.Hour
)

var (
	validName   = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	validDigest = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check validates a set and returns its faults, sorted. If a predecessor is given, a
// purchased total below that of the predecessor is a fault too.
func Check(set Set, predecessor *Set) []Fault {
	checker := newChecker(set)
	for _, s := range schemas() {
		checker.faults = append(checker.faults, s.duplicates(&set)...)
	}
	checker.checkNames()
	checker.checkValues()
	checker.checkReferences()
	checker.checkRegions()
	checker.checkAffordability()
	if predecessor != nil {
		checker.faults = append(checker.faults, checkPurchasedTotals(set, *predecessor)...)
	}
	return sortUniqueFaults(checker.faults)
}

// loweredTotalReason returns the reason of a fault for a purchased total that is below the
// one in the predecessor.
func loweredTotalReason(before, after int64) string {
	return fmt.Sprintf("%d is below the %d already purchased", after, before)
}

func (c *checker) checkNames() {
	for _, team := range c.set.Teams {
		c.checkName("team", team.Name)
	}
	for _, budget := range c.set.Budgets {
		c.checkName("budget", budget.Name)
	}
	for _, model := range c.set.Models {
		c.checkName("model", model.Name)
	}
	for _, service := range c.set.Services {
		c.checkName("service", service.Name)
	}
	for _, route := range c.set.Routes {
		c.checkName("route", route.Name)
	}
	for _, pool := range c.set.Pools {
		c.checkName("pool", pool.Name)
	}
}

func (c *checker) checkValues() {
	for _, team := range c.set.Teams {
		c.checkTeam(team)
	}
	for _, budget := range c.set.Budgets {
		c.checkRange(Fault{Kind: "budget", Name: budget.Name, Field: "purchased"}, budget.Purchased, MaxCredits)
	}
	for _, model := range c.set.Models {
		c.checkModel(model)
	}
	for _, service := range c.set.Services {
		fault := Fault{Kind: "service", Name: service.Name}
		c.checkRange(fault.withField("price"), service.Price, MaxCredits)
		c.checkTimeout(fault.withField("timeout"), service.Timeout, MaxTimeout)
	}
	for _, pool := range c.set.Pools {
		c.checkPool(pool)
	}
	c.checkPaths()
}

// CheckPaths validates only the paths of a set and returns their faults, sorted.
func CheckPaths(set Set) []Fault {
	checker := newChecker(set)
	checker.checkPaths()
	return sortUniqueFaults(checker.faults)
}

func (c *checker) checkPaths() {
	for _, path := range c.set.Paths {
		c.checkPath(path)
	}
}

func (c *checker) checkPath(path Path) {
	fault := Fault{Kind: "path", Name: path.Name}
	if !slices.Contains([]PathKind{SafePath, UnsafePath, StreamPath}, path.Kind) {
		c.addFault(fault.withField("kind"), "%q is not %s, %s or %s", path.Kind, SafePath, UnsafePath, StreamPath)
	}
	if path.Host == "" {
		c.addFault(fault.withField("host"), "missing")
	}
	if !strings.HasPrefix(path.Prefix, "/") || !strings.HasSuffix(path.Prefix, "/") {
		c.addFault(fault.withField("prefix"), "%q does not begin and end with a slash", path.Prefix)
	}
	c.checkTimeout(fault.withField("timeout"), path.Timeout, MaxTimeout)
	c.checkRange(fault.withField("attempts"), int64(path.Attempts), MaxCount)
	c.checkBackends(path)
}

// checkBackends reports undeclared pools, negative weights and weights whose sum is zero.
func (c *checker) checkBackends(path Path) {
	fault := Fault{Kind: "path", Name: path.Name, Field: "backends"}
	total := 0
	for _, backend := range path.Backends {
		if backend.Weight < 0 {
			c.addFault(fault, "the weight of %s is negative", backend.Pool)
		}
		if !slices.ContainsFunc(c.set.Pools, func(p Pool) bool { return p.Name == backend.Pool }) {
			c.addFault(fault, "pool %s is not declared", backend.Pool)
		}
		total += backend.Weight
	}
	if total == 0 {
		c.addFault(fault, "no pool has a weight above zero")
	}
}

func (c *checker) checkTeam(team Team) {
	fault := Fault{Kind: "team", Name: team.Name}
	c.checkRange(fault.withField("max_concurrent"), int64(team.MaxConcurrent), MaxCount)
	c.checkRange(fault.withField("weight"), int64(team.Weight), MaxWeight)
	if len(team.KeyDigests) == 0 {
		c.addFault(fault.withField("key_digests"), "missing")
	}
	for _, digest := range team.KeyDigests {
		c.checkDigest(team, digest)
	}
}

// checkDigest reports a key digest that is malformed or is already declared, by this team
// or by another one.
func (c *checker) checkDigest(team Team, digest string) {
	fault := Fault{Kind: "team", Name: team.Name, Field: "key_digests"}
	if !validDigest.MatchString(digest) {
		c.addFault(fault, "%q is not a SHA-256 digest in lower-case hex", digest)
		return
	}
	owner, exists := c.digestOwners[digest]
	if exists {
		c.addFault(fault, "digest %s is also a key of team %s", digest, owner)
		return
	}
	c.digestOwners[digest] = team.Name
}

func (c *checker) checkModel(model Model) {
	fault := Fault{Kind: "model", Name: model.Name}
	c.checkRange(fault.withField("input_price"), model.InputPrice, MaxPrice)
	c.checkRange(fault.withField("output_price"), model.OutputPrice, MaxPrice)
	c.checkRange(fault.withField("max_output"), model.MaxOutput, MaxCredits)
	c.checkRange(fault.withField("default_output"), model.DefaultOutput, MaxCredits)
	c.checkTimeout(fault.withField("timeout"), model.Timeout, MaxTimeout)
	c.checkTimeout(fault.withField("stall"), model.StallTimeout, MaxTimeout)
	if model.DefaultOutput > model.MaxOutput {
		c.addFault(fault.withField("default_output"), "%d is above max_output %d", model.DefaultOutput, model.MaxOutput)
	}
	if model.StallTimeout > model.Timeout {
		c.addFault(fault.withField("stall"), "%s is above timeout %s", model.StallTimeout, model.Timeout)
	}
	if model.OutputPrice > 0 && model.MaxOutput > MaxCredits/model.OutputPrice {
		c.addFault(fault.withField("max_output"), "max_output times output_price is above %d credits", int64(MaxCredits))
	}
}

func (c *checker) checkPool(pool Pool) {
	fault := Fault{Kind: "pool", Name: pool.Name}
	c.checkRange(fault.withField("port"), int64(pool.Port), MaxPort)
	c.checkRange(fault.withField("max_in_flight"), int64(pool.MaxInFlight), MaxCount)
	c.checkColdRate(pool)
	if !slices.Contains([]PoolKind{EntryPool, EndpointPool}, pool.Kind) {
		c.addFault(fault.withField("kind"), "%q is not %s or %s", pool.Kind, EntryPool, EndpointPool)
	}
}

// checkColdRate reports a rate or a time of cold VMs without the other, or out of range.
func (c *checker) checkColdRate(pool Pool) {
	fault := Fault{Kind: "pool", Name: pool.Name}
	if pool.ColdRate == 0 && pool.ColdTime == 0 {
		return
	}
	if !(pool.ColdRate >= MinRate && pool.ColdRate <= MaxCount) {
		c.addFault(fault.withField("cold_rate"), "%g is not between %g and %d", pool.ColdRate, MinRate, MaxCount)
	}
	c.checkTimeout(fault.withField("cold_time"), pool.ColdTime, MaxTimeout)
	if pool.Kind == EntryPool {
		c.addFault(fault.withField("cold_rate"), "only a pool of endpoints can have one")
	}
}

// checkRange reports a value below one or above the limit.
func (c *checker) checkRange(fault Fault, value, limit int64) {
	if value < 1 || value > limit {
		c.addFault(fault, "%d is not between 1 and %d", value, limit)
	}
}

func (c *checker) checkTimeout(fault Fault, timeout, limit time.Duration) {
	if timeout < MinTimeout || timeout > limit {
		c.addFault(fault, "%s is not between %s and %s", timeout, MinTimeout, limit)
	}
}

func (c *checker) checkName(kind, name string) {
	if !validName.MatchString(name) {
		c.addFault(Fault{Kind: kind, Name: name}, "name does not match %s", validName)
	}
}
