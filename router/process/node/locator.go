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
	members  *atomic.Pointer[[]member.Member]
	locality vm.Locality
	ttl      time.Duration
	secret   secret.Key
	demands  sync.Map
}

// teamDemand is the recent demand of one team. Rate is a moving average of requests
// a second; only tick changes it.
type teamDemand struct {
	requests atomic.Int64
	mu       sync.Mutex
	counted  int64
	rate     float64
}

// Locate implements front.Locator. Requests of a team come to each router of
// its set, so that the whole demand is this router's times the set's width.
//
// The tickets name the router that comes first, which alone runs requests under
// them.
func (l *locator) Locate(team declaration.Team, region string, tickets int) frontend.LocateResponse {
	if region == "" {
		region = l.locality.Region
	}
	response := locate.Response{}
	if members := l.members.Load(); members != nil {
		response = locate.Decide(*members, locate.Query{
			Team:   team.Name,
			Region: region,
			Width:  locate.Width(l.demandOf(team.Name).requestsPerSecond() * locate.MinWidth),
		})
	}
	response.TTL = l.ttl
	result := frontend.LocateResponse{Response: response}
	if len(response.Addresses) == 0 {
		return result
	}
	for range tickets {
		ticket := locate.IssueTicket(response.Addresses[0].Incarnation, team.Name)
		result.Tickets = append(result.Tickets, ticket.Encode(l.secret))
	}
	return result
}

// CountRequest implements front.Locator.
func (l *locator) CountRequest(team string) {
	l.demandOf(team).requests.Add(1)
}

// tick is called once a second.
func (l *locator) tick() {
	l.demands.Range(func(_, value any) bool {
		value.(*teamDemand).tick()
		return true
	})
}

func (l *locator) demandOf(team string) *teamDemand {
	if demand, ok := l.demands.Load(team); ok {
		return demand.(*teamDemand)
	}
	demand, _ := l.demands.LoadOrStore(team, &teamDemand{})
	return demand.(*teamDemand)
}

func (c *teamDemand) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.requests.Load()
	c.rate += DemandWeight * (float64(total-c.counted) - c.rate)
	c.counted = total
}

func (c *teamDemand) requestsPerSecond() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rate
}
