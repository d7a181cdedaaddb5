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
	"jacinthpaddle.example/fleet/process/evacuation"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quarantine"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/request/retry"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/fleet/version/snapshot"
)

// Thread is the control thread of a router.
type Thread = control.Thread[*State]

// AsyncIO has the I/O operations of the control thread. Its methods return at once. The
// results are sent to the control thread as messages.
type AsyncIO interface {
	// Hub maintains the links to peers. A message that this process sends to itself is
	// delivered to it as a PeerMessage.
	membership.Hub
	// UpdatePage updates or reads an account page in the store. The result is sent as a
	// PageUpdated message.
	UpdatePage(update PageUpdate)
	// StoreSegment stores a journal segment under the object name. The replicaOwner is the
	// suspected or failed process whose replicated records the segment has, or empty for
	// the journal of this process. The result is sent as a SegmentStored message.
	StoreSegment(name string, segment journal.Segment, replicaOwner ident.Incarnation)
}

// PageUpdate is a set of changes to the accounts of one page and of reads of accounts.
// An update with reads only does not change the page.
type PageUpdate struct {
	// CachedObject is the stored page as last read or written by this process. Its
	// version is zero if the page was never read or the last update failed.
	CachedObject store.Object
	Grants       []account.GrantRequest
	Returns      []account.Return
	Refunds      []account.Refund
	Reclaims     []account.Reclaim
	WriteOffs    []RecoveryKey
	// Reads lists the budgets whose accounts are read without a change.
	Reads []string
	// Purchased has the purchased credits of each budget in the active generation.
	Purchased map[string]int64
}

// Apply applies the changes to the page and reports whether the page was changed.
func (u PageUpdate) Apply(page account.Page) bool {
	changed := false
	for _, request := range u.Grants {
		changed = page.Grant(request, u.Purchased[request.Budget]) || changed
	}
	for _, request := range u.Returns {
		changed = page.Return(request) || changed
	}
	for _, request := range u.Refunds {
		changed = page.Refund(request) || changed
	}
	for _, reclaim := range u.Reclaims {
		changed = page.Reclaim(reclaim) || changed
	}
	for _, writeOff := range u.WriteOffs {
		changed = page.WriteOff(writeOff.Budget, writeOff.Holder) || changed
	}
	return changed
}

// pageState is the state of the updates of one account page.
type pageState struct {
	// pending collects the changes and reads for the next update, and has the CachedObject
	// with which it starts.
	pending PageUpdate
	// inFlight reports whether an update was started and has no result yet.
	inFlight bool
	// nextAt is, in a large fleet, the earliest time of the next update.
	nextAt time.Time
}

// Waiter is a request that waits for credits.
type Waiter struct {
	// Amount is the number of credits.
	Amount int64
	// Reply receives whether the credits were reserved. It must have a buffer of one.
	Reply chan<- bool
}

// State is the control state of a router. Only the control thread may use it, except for
// the fields that are documented as shared with, or read or used by, other goroutines.
type State struct {
	Self  ident.Incarnation
	Clock clock.Clock
	Log   *event.Log
	IO    AsyncIO
	// Quota decides on the quota of this process. Its Balances are shared with the
	// goroutines of requests.
	Quota *quota.Manager[quota.SizingPolicy]
	// Refusals is shared with the metrics.
	Refusals *RefusalCounts
	// Witness acknowledges the ceilings of other holders.
	Witness *quota.Witness
	// JournalBuffer has the journal records of this process that are not stored yet.
	JournalBuffer *journal.Buffer
	// JournalFull reports whether JournalBuffer is full. It is written by the control thread
	// and read by the goroutines of requests.
	JournalFull *atomic.Bool
	// Replicas has copies of peers' journal records that are not stored yet.
	Replicas *journal.Replicas
	// ActiveSnapshot has the configuration of the active generation. It is shared with the
	// goroutines of requests.
	ActiveSnapshot *current.Value[*snapshot.Snapshot]
	// Evacuations has the newest reading of the evacuated zones. It is shared with other
	// goroutines, and empty until there is a reading.
	Evacuations *current.Value[evacuation.Reading]

	// Generation is the newest generation that this process has.
	Generation generation.Generation
	// ActiveNumber is the number of Generation. It is written by the control thread and read
	// by other goroutines.
	ActiveNumber *atomic.Int64

	Settings   Settings
	Started    time.Time
	Membership *membership.Manager
	// Linked contains the peers with an open link.
	Linked map[ident.Incarnation]bool

	// OnEvicted is called once, after the other members have evicted this process or
	// closed its account record. The process should then be replaced by a new one.
	OnEvicted func()

	// Members has the members in the view. It is written by the control thread and read
	// by the goroutines of requests and of background work.
	Members *atomic.Pointer[[]member.Member]
	// WatchesStore reports whether the process itself watches the store for generations
	// and reads the list of VMs. It is written by the control thread and read by the
	// goroutines of background work.
	WatchesStore *atomic.Bool
	// ListReceivedAt is the time at which a peer last sent a later reading of the list of
	// VMs. It is written by the control thread and read by the goroutines of background
	// work.
	ListReceivedAt *atomic.Pointer[time.Time]
	// Retries has the retry budgets. The control thread configures them and the goroutines
	// of requests use them.
	Retries *retry.Budgets
	// Prompts has the parts of prompts under which endpoints may crash. PromptView is a
	// snapshot of it, written by the control thread and read by the goroutines of requests.
	Prompts    *quarantine.Tracker
	PromptView *atomic.Pointer[quarantine.View]
	// Endpoints is updated by the control thread and read by the goroutines of requests.
	Endpoints      *endpoint.Table
	EndpointConfig endpoint.Config

	// pendingPrompts has the observations that were not sent to the peers yet.
	pendingPrompts PromptsObserved
	vmList         vm.List
	// retained has the VMs that are missing from vmList and stay in use for a while.
	retained []retention
	// readings has the number of the last known reading of the list of VMs by its reader.
	readings map[ident.Incarnation]int64
	// pages has the account pages by object name.
	pages map[string]*pageState
	// layout is how accounts are distributed over pages, with zero pages until it is known.
	layout account.Layout
	// unplaced has the updates of accounts by budget while the layout is not known.
	unplaced map[string]*pageState
	// waiters has the requests that wait for credits by budget, in order of arrival.
	waiters map[string][]Waiter
	// durableWaiters has the Done channels of journal records that are not durable yet, by
	// their position in the journal of this process.
	durableWaiters map[int64]chan<- error
	recoveries     map[RecoveryKey]*quota.Recovery
	// drawers is the number of processes that take grants from the store for one account
	// page.
	drawers int
	// accountsRead contains the failed processes whose accounts were read for recovery. It
	// keeps those that are no longer in the view.
	accountsRead    map[ident.Incarnation]bool
	loggedEndpoints map[string]endpointFlags
	// evacuated has the zones whose endpoints get no new requests.
	evacuated []string
	announced announcements
	// membersOutdated is set by gossip until membersChanged runs. A process that starts
	// receives many messages, and deriving all that depends on the members costs about a
	// millisecond in a large fleet.
	membersOutdated bool
	// maintained is the QuotaInterval in which the work due at each of them ran last.
	maintained schedule
	// refilled is the interval in which the quota manager's Tick ran last.
	refilled schedule
	// evicted is set before OnEvicted is called.
	evicted bool
}

// newEndpointConfig returns the configuration of the endpoint table.
func newEndpointConfig(self member.Member, settings Settings, dialect endpoint.Dialect) endpoint.Config {
	config := endpoint.Defaults(self.Locality, self.Incarnation)
	config.LeavingHold = settings.Platform.LeavingHold
	config.VM = self.VM
	config.EntryPool = settings.Fleet.EntryPool
	config.MaxPolled = settings.Platform.PolledEndpoints
	config.Dialect = dialect
	return config
}

// newSizingPolicy returns the policy for how much quota the process holds.
func newSizingPolicy(settings QuotaSettings) quota.SizingPolicy {
	share, refill := float64(settings.SharePercent)/100, float64(settings.RefillPercent)/100
	if !settings.Witnessed {
		return quota.DemandSpread{
			Horizon: settings.Horizon,
			Share:   share,
			Holders: settings.Holders,
			Refill:  refill,
			MaxLoss: float64(settings.LossPercent) / 100,
		}
	}
	return quota.DemandShrinking{
		Horizon: settings.Horizon,
		Ready:   settings.Ready,
		Share:   share,
		Holders: settings.Holders,
		Refill:  refill,
	}
}

// NewState returns the state of a process that has just started. A nil dialect selects
// the fleet's own protocol for endpoints.
func NewState(self member.Member, settings Settings, dialect endpoint.Dialect, clk clock.Clock, log *event.Log, io AsyncIO) *State {
	now := clk.Now()
	endpointConfig := newEndpointConfig(self, settings, dialect)
	journalConfig := journal.DefaultConfig()
	journalConfig.RequiredCopies = settings.Journal.Copies
	journalConfig.FlushInterval = settings.Journal.FlushInterval
	journalConfig.MaxPendingBytes = settings.Resources().JournalBytes
	state := &State{
		Self:           self.Incarnation,
		Clock:          clk,
		Log:            log,
		IO:             io,
		Settings:       settings,
		Quota:          quota.New(self.Incarnation, newSizingPolicy(settings.Quota), &quota.Balances{}),
		Witness:        quota.NewWitness(),
		Refusals:       &RefusalCounts{},
		JournalBuffer:  journal.NewBuffer(journalConfig, self.Incarnation),
		Replicas:       journal.NewReplicas(),
		ActiveSnapshot: current.New(newerSnapshot),
		Evacuations:    current.New(evacuation.Newer),
		Started:        now,
		Membership:     membership.New(self, io, now),
		Linked:         make(map[ident.Incarnation]bool),
		WatchesStore:   &atomic.Bool{},
		ListReceivedAt: &atomic.Pointer[time.Time]{},
		Members:        &atomic.Pointer[[]member.Member]{},
		JournalFull:    &atomic.Bool{},
		ActiveNumber:   &atomic.Int64{},
		Retries:        retry.NewBudgets(retry.BudgetDefaults(), clk),
		Prompts:        quarantine.New(quarantine.Defaults()),
		PromptView:     &atomic.Pointer[quarantine.View]{},
		Endpoints:      endpoint.NewTable(endpointConfig, clk),
		EndpointConfig: endpointConfig,
		announced:      announcements{byPeer: make(map[ident.Incarnation]announcement)},
		readings:       make(map[ident.Incarnation]int64),
		pages:          make(map[string]*pageState),
		layout:         account.Layout{Pages: settings.Quota.Pages},
		unplaced:       make(map[string]*pageState),
		waiters:        make(map[string][]Waiter),
		durableWaiters: make(map[int64]chan<- error),
		recoveries:     make(map[RecoveryKey]*quota.Recovery),
		accountsRead:   make(map[ident.Incarnation]bool),
		maintained:     newSchedule(self.Incarnation, now),
		refilled:       newSchedule(self.Incarnation, now),
	}
	state.Replicas.MaxBytes = journalConfig.MaxPendingBytes
	state.Quota.VM = self.VM
	state.Quota.Window = settings.Quota.Window
	state.WatchesStore.Store(true)
	state.PromptView.Store(state.Prompts.View())
	state.resizeRetries(1, 1, true)
	return state
}

// newerSnapshot reports whether the offered snapshot replaces the held one.
func newerSnapshot(held, offered *snapshot.Snapshot) bool {
	return offered.Generation > held.Generation
}

// Tick is sent at each TickInterval.
type Tick struct{}

// Apply implements control.Message.
func (Tick) Apply(state *State) {
	now := state.Clock.Now()
	if state.membersOutdated {
		state.membersChanged()
	}
	state.serveAllWaiters()
	if state.isLargeFleet() {
		state.startAllUpdates()
	}
	state.dropRetainedVMs(now)
	state.JournalBuffer.Tick(now)
	state.applyJournalEffects()
	state.sendPrompts()
	if !state.maintained.due(now, QuotaInterval, state.isLargeFleet()) {
		return
	}
	state.requestGeneration()
	state.refillQuota(now)
	state.Membership.Tick(now)
	state.membersChanged()
	state.forgetReadings()
	state.forgetPrompts(now)
	state.recoverFailedProcesses()
	state.logEndpointChanges()
	state.checkEviction()
}

// checkEviction calls OnEvicted once the other members have evicted this incarnation or
// closed an account record that it did not close itself. They considered it failed then,
// and it can obtain no more quota.
func (s *State) checkEviction() {
	if s.evicted {
		return
	}
	for budget, allocation := range s.Quota.Allocations {
		if allocation.RecordClosed && !allocation.Closing {
			s.Log.Emit(event.AccountRecordClosed, event.String("budget", budget))
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
