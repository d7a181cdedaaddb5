package node

import (
	"sync"
	"sync/atomic"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/current"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/snapshot"
	"jacinthpaddle.example/router/request/frontend"
)

// DemandWeight is the weight of the latest second in the moving average of a team's
// request rate.
const DemandWeight = 0.2

// locator decides on locate requests from the members that the control thread published
// and from the counted requests of each team. It implements frontend.Locator and is
// safe for concurrent use.
type locator struct {
	members        *atomic.Pointer[[]member.Member]
	activeSnapshot *current.Value[*snapshot.Snapshot]
	clock          clock.Clock
	locality       vm.Locality
	settings       LocateSettings
	secret         secret.Key
	// demands maps names of teams to their *teamDemand.
	demands sync.Map
}

// teamDemand is the recent demand of one team at this router.
type teamDemand struct {
	// requests is the total number of requests.
	requests atomic.Int64
	mu       sync.Mutex
	// counted is the value of requests at the last tick.
	counted int64
	// rate is a moving average of the requests per second.
	rate float64
}

// Locate implements frontend.Locator. The requests of a team are spread over at least
// locate.MinSubsetSize routers, so that its whole demand is estimated as the demand at this
// router times that number.
//
// The tickets name the first router of the response: it alone runs requests with them.
func (l *locator) Locate(team declaration.Team, region string, tickets int) frontend.LocateResponse {
	if region == "" {
		region = l.locality.Region
	}
	response := locate.Response{}
	active, known := l.activeSnapshot.Load()
	if members := l.members.Load(); members != nil && known {
		response = locate.SelectRouters(*members, locate.Query{
			Team:       team.Name,
			Region:     region,
			SubsetSize: locate.SubsetSize(l.demandOf(team.Name).requestsPerSecond() * locate.MinSubsetSize),
			Fallback:   active.TeamFallback(team),
			Contact:    locate.Contact{Now: l.clock.Now(), Bound: l.settings.ContactBound},
		})
	}
	response.TTL = l.settings.TTL
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

// CountRequest implements frontend.Locator.
func (l *locator) CountRequest(team string) {
	l.demandOf(team).requests.Add(1)
}

// tick updates the request rates. It must be called once a second.
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

func (d *teamDemand) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := d.requests.Load()
	d.rate += DemandWeight * (float64(total-d.counted) - d.rate)
	d.counted = total
}

func (d *teamDemand) requestsPerSecond() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rate
}
