package node

import (
	"sync/atomic"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/connection/membership"
	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/current"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/retry"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// Thread is the control thread of a router.
type Thread = control.Thread[*State]

// AsyncIO does the I/O that the control thread orders. Its methods return at
// once; results come back as messages.
type AsyncIO interface {
	// Links steer the links to peers. A message to this process comes back to it.
	membership.Hub
	// UpdatePage applies changes to an account page.
	UpdatePage(update PageUpdate)
	// StoreSegment stores a journal segment under the name.
	StoreSegment(name string, segment journal.Segment, lost ident.Incarnation)
}

// PageUpdate is a set of changes to one account page, with the purchased totals of
// the generation in force. Reads names budgets whose account is to be read.
type PageUpdate struct {
	CachedObject store.Object
	Grants       []account.GrantRequest
	Returns      []account.Return
	Refunds      []account.Refund
	Reclaims     []account.Reclaim
	WriteOffs    []RecoveryKey
	Reads        []string
	Purchased    map[string]int64
}

// Apply makes the changes and reports whether any altered the page.
func (j PageUpdate) Apply(page account.Page) bool {
	changed := false
	for _, request := range j.Grants {
		changed = page.Grant(request, j.Purchased[request.Budget]) || changed
	}
	for _, request := range j.Returns {
		changed = page.Return(request) || changed
	}
	for _, request := range j.Refunds {
		changed = page.Refund(request) || changed
	}
	for _, reclaim := range j.Reclaims {
		changed = page.Reclaim(reclaim) || changed
	}
	for _, lost := range j.WriteOffs {
		changed = page.WriteOff(lost.Budget, lost.Holder) || changed
	}
	return changed
}

// pageState is what the control thread knows of one account page.
type pageState struct {
	pending  PageUpdate
	inFlight bool
}

// Waiter is a request that waits for credits.
type Waiter struct {
	Amount int64
	Reply  chan<- bool
}

// State is the control state of a router. Only the control thread uses it.
type State struct {
	Self           ident.Incarnation
	Clock          clock.Clock
	Log            *event.Log
	IO             AsyncIO
	Quota          *quota.Manager[quota.SizingPolicy]
	Witness        *quota.Witness
	JournalBuffer  *journal.Buffer
	Replicas       *journal.Replicas
	ActiveSnapshot *current.Value[*snapshot.Snapshot]

	Settings   Settings
	Generation generation.Generation
	Started    time.Time
	Membership *membership.Manager
	Linked     map[ident.Incarnation]bool

	// OnEvicted is called once, when the process should give way to a fresh one.
	OnEvicted func()

	// Members is the view for traffic to read.
	Members *atomic.Pointer[[]member.Member]
	// WatchesStore tells whether the process watches the store for generations and the
	// list of VMs.
	WatchesStore *atomic.Bool
	// ListReceivedAt is when a peer last sent news of the list.
	ListReceivedAt *atomic.Pointer[time.Time]
	// Retries is sized by the control thread and drawn on by traffic.
	Retries *retry.Budgets
	// Endpoints is changed by the control thread and read by traffic.
	Endpoints      *endpoint.Table
	EndpointConfig endpoint.Config

	vmList          vm.List
	retainedVMs     []vm.VM
	retainUntil     time.Time
	pages           map[string]*pageState
	waiters         map[string][]Waiter
	durableWaiters  map[int64]chan<- error
	recoveries      map[RecoveryKey]*quota.Recovery
	accountsRead    map[ident.Incarnation]bool
	loggedEndpoints map[string]endpointFlags
	offer           generationOffer
	maintainedAt    time.Time
	refilledAt      time.Time
	evicted         bool
}

// newEndpointConfig returns what the settings say of endpoints.
func newEndpointConfig(self member.Member, settings Settings, dialect endpoint.Dialect) endpoint.Config {
	config := endpoint.Defaults(self.Locality, self.Incarnation)
	config.LeavingHold = settings.Platform.LeavingHold
	config.MaxPolled = settings.Platform.PolledEndpoints
	config.Dialect = dialect
	return config
}

// newSizingPolicy returns the policy for how many rights the process holds.
func newSizingPolicy(settings QuotaSettings) quota.SizingPolicy {
	share, refill := float64(settings.SharePercent)/100, float64(settings.RefillPercent)/100
	if !settings.Witnessed {
		return quota.DemandSpread{Horizon: settings.Horizon, Share: share, Holders: settings.Holders, Refill: refill}
	}
	return quota.DemandShrinking{
		Horizon: settings.Horizon,
		Ready:   settings.Ready,
		Share:   share,
		Holders: settings.Holders,
		Refill:  refill,
	}
}

// NewState returns the state of a process that has just started and speaks the
// dialect with endpoints, nil being the fleet's own.
func NewState(self member.Member, settings Settings, dialect endpoint.Dialect, clk clock.Clock, log *event.Log, io AsyncIO) *State {
	now := clk.Now()
	endpointSettings := newEndpointConfig(self, settings, dialect)
	journalConfig := journal.DefaultConfig()
	journalConfig.RequiredCopies = settings.Journal.Copies
	journalConfig.FlushInterval = settings.Journal.FlushInterval
	state := &State{
		Self:           self.Incarnation,
		Clock:          clk,
		Log:            log,
		IO:             io,
		Settings:       settings,
		Quota:          quota.New(self.Incarnation, newSizingPolicy(settings.Quota), &quota.Balances{}),
		Witness:        quota.NewWitness(),
		JournalBuffer:  journal.NewBuffer(journalConfig, self.Incarnation),
		Replicas:       journal.NewReplicas(),
		ActiveSnapshot: current.New(newerSnapshot),
		Started:        now,
		Membership:     membership.New(self, io, now),
		Linked:         make(map[ident.Incarnation]bool),
		WatchesStore:   &atomic.Bool{},
		ListReceivedAt: &atomic.Pointer[time.Time]{},
		Members:        &atomic.Pointer[[]member.Member]{},
		Retries:        retry.NewBudgets(retry.BudgetDefaults(), clk),
		Endpoints:      endpoint.NewTable(endpointSettings, clk),
		EndpointConfig: endpointSettings,
		pages:          make(map[string]*pageState),
		waiters:        make(map[string][]Waiter),
		durableWaiters: make(map[int64]chan<- error),
		recoveries:     make(map[RecoveryKey]*quota.Recovery),
		accountsRead:   make(map[ident.Incarnation]bool),
	}
	state.Quota.VM = self.VM
	state.Quota.Window = settings.Quota.Window
	state.WatchesStore.Store(true)
	state.resizeRetries(1, 1, true)
	return state
}

func newerSnapshot(held, offered *snapshot.Snapshot) bool {
	return offered.Generation > held.Generation
}

// Tick is sent by the process's ticker.
type Tick struct{}

// Apply implements control.Message.
func (Tick) Apply(state *State) {
	now := state.Clock.Now()
	state.serveAllWaiters()
	state.dropRetainedVMs(now)
	state.JournalBuffer.Tick(now)
	state.applyJournalEffects()
	if now.Sub(state.maintainedAt) < QuotaInterval {
		return
	}
	state.maintainedAt = now
	state.requestGeneration()
	state.refillQuota(now)
	state.Membership.Tick(now)
	state.membersChanged()
	state.recoverLostHolders()
	state.logEndpointChanges()
	state.checkEviction()
}

// checkEviction asks for a fresh incarnation once this one can draw no more
// rights: the fleet took it for lost and closed its records.
func (s *State) checkEviction() {
	if s.evicted {
		return
	}
	for budget, allocation := range s.Quota.Allocations {
		if allocation.RecordClosed && !allocation.Closing {
			s.Log.Emit(event.HolderClosed, event.Text("budget", budget))
			s.evicted = true
		}
	}
	if s.view().Evicted() {
		s.evicted = true
	}
	if s.evicted {
		s.OnEvicted()
	}
}
