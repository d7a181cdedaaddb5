package node

import (
	"sync"
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/router/request/frontend"
)

// DemandWeight is the weight of the latest second in a team's request rate.
const DemandWeight = 0.2

// locator answers locate requests from the view that the control thread left
// for traffic, and from the demand that traffic counted. It is safe for
// concurrent use.
type locator struct {
	fleet  *atomic.Pointer[[]member.Member]
	place  vm.Locality
	ttl    time.Duration
	secret secret.Key
	counts sync.Map
}

// count is the recent demand of one team. Rate is a moving average of requests
// a second; only tick changes it.
type count struct {
	requests atomic.Int64
	mu       sync.Mutex
	seen     int64
	rate     float64
}

// Locate implements front.Locator. Requests of a team come to each router of
// its set, so that the whole demand is this router's times the set's width.
//
// The tickets name the router that comes first, which alone runs requests under
// them.
func (l *locator) Locate(team declaration.Team, region string, tickets int) frontend.LocateResponse {
	if region == "" {
		region = l.place.Region
	}
	answer := locate.Response{}
	if members := l.fleet.Load(); members != nil {
		answer = locate.Decide(*members, locate.Query{
			Team:   team.Name,
			Region: region,
			Width:  locate.Width(l.of(team.Name).read() * locate.MinWidth),
		})
	}
	answer.TTL = l.ttl
	located := frontend.LocateResponse{Response: answer}
	if len(answer.Addresses) == 0 {
		return located
	}
	for range tickets {
		ticket := locate.IssueTicket(answer.Addresses[0].Incarnation, team.Name)
		located.Tickets = append(located.Tickets, ticket.Encode(l.secret))
	}
	return located
}

// CountRequest implements front.Locator.
func (l *locator) CountRequest(team string) {
	l.of(team).requests.Add(1)
}

// tick is called once a second.
func (l *locator) tick() {
	l.counts.Range(func(_, value any) bool {
		value.(*count).tick()
		return true
	})
}

func (l *locator) of(team string) *count {
	if held, ok := l.counts.Load(team); ok {
		return held.(*count)
	}
	held, _ := l.counts.LoadOrStore(team, &count{})
	return held.(*count)
}

func (c *count) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.requests.Load()
	c.rate += DemandWeight * (float64(total-c.seen) - c.rate)
	c.seen = total
}

func (c *count) read() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rate
}
