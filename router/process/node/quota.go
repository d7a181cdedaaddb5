package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/store"
)

// CreditReserver reserves credits for requests. It implements serve.CreditReserver and
// is safe for concurrent use.
type CreditReserver struct {
	thread   *Thread
	balances *quota.Balances
}

// NewCreditReserver returns a reserver that uses the balances and requests more credits
// from the control thread if a balance is too small.
func NewCreditReserver(thread *Thread, balances *quota.Balances) *CreditReserver {
	return &CreditReserver{thread: thread, balances: balances}
}

// Reserve reserves the amount of credits and returns the balance against which the
// reservation must be settled. It returns false if neither the store nor the reachable
// peers have enough credits. If the context ends first, it cancels the request and
// returns false unless the credits were reserved before the cancellation.
func (r *CreditReserver) Reserve(ctx context.Context, budget string, amount int64) (*quota.Balance, bool) {
	balance := r.balances.Get(budget)
	if balance.Reserve(amount) {
		return balance, true
	}
	reply := make(chan bool, 1)
	r.thread.Send(CreditRequest{Budget: budget, Waiter: Waiter{Amount: amount, Reply: reply}})
	select {
	case granted := <-reply:
		return balance, granted
	case <-ctx.Done():
	}
	r.thread.Send(CancelCreditRequest{Budget: budget, Reply: reply})
	return balance, <-reply
}

// refillQuota runs the periodic work of the quota manager. Its interval grows with the
// number of processes that take grants from the store for the same account page.
func (s *State) refillQuota(now time.Time) {
	interval := scaledInterval(QuotaInterval, s.drawers, HoldersPerRefillInterval)
	if !s.refilled.due(now, interval, s.isLargeFleet()) {
		return
	}
	s.prefetchQuota(now)
	s.applyActions(s.Quota.Tick(now))
	s.serveAllWaiters()
}

// prefetchQuota adds an allocation of every budget before its first use, and reads its
// account, so that the quota manager requests grants for it. It does so from PrefetchDelay
// after the start, if there are at most MaxPrefetchedBudgets budgets, the sizing policy uses
// no witnesses and callers are directed to this process. Without a prefetch, a process that is
// partitioned from the store before the first use of a budget has no credits for it.
func (s *State) prefetchQuota(now time.Time) {
	supplied := len(s.Quota.Supply.Suppliers) > 0 && !s.Quota.Supply.Supplies
	budgets := s.Generation.Set.Budgets
	if s.Quota.Sizing.UsesWitnesses() || supplied || len(budgets) > MaxPrefetchedBudgets || now.Sub(s.Started) < PrefetchDelay {
		return
	}
	for _, budget := range budgets {
		s.ensureAllocation(budget.Name)
		if s.Quota.Unread(budget.Name) && s.Quota.Draws(budget.Name) {
			s.readAccount(budget.Name)
		}
	}
	s.startAllUpdates()
}

// readAccount adds a read of the account to the next update of its page.
func (s *State) readAccount(budget string) {
	page := s.page(budget)
	if !slices.Contains(page.pending.Reads, budget) {
		page.pending.Reads = append(page.pending.Reads, budget)
	}
}

// ensureAllocation adds an allocation of the budget without credits unless there is one.
// A process has allocations only of prefetched budgets and of those that its callers or
// peers requested.
func (s *State) ensureAllocation(budget string) {
	if !s.hasAllocation(budget) {
		s.Quota.SetPurchased(budget, s.purchased(budget))
	}
}

func (s *State) hasAllocation(budget string) bool {
	_, found := s.Quota.Allocations[budget]
	return found
}

// CreditRequest adds a request to those that wait for credits of the budget.
type CreditRequest struct {
	Budget string
	Waiter Waiter
}

// Apply implements control.Message.
func (m CreditRequest) Apply(state *State) {
	state.ensureAllocation(m.Budget)
	state.waiters[m.Budget] = append(state.waiters[m.Budget], m.Waiter)
	state.serveWaiters(m.Budget)
}

// CancelCreditRequest removes a request from those that wait for credits and replies
// false to it, unless it already has a reply.
type CancelCreditRequest struct {
	Budget string
	// Reply is the channel of the Waiter and identifies it.
	Reply chan<- bool
}

// Apply implements control.Message.
func (m CancelCreditRequest) Apply(state *State) {
	waiting := state.waiters[m.Budget]
	for index, waiter := range waiting {
		if waiter.Reply != m.Reply {
			continue
		}
		state.waiters[m.Budget] = append(waiting[:index], waiting[index+1:]...)
		state.recordRefusal(m.Budget, waiter.Amount)
		waiter.Reply <- false
		state.serveWaiters(m.Budget)
		return
	}
}

// serveWaiters reserves credits for the waiting requests in the order of their arrival
// and requests the missing credits from the quota manager. The remaining requests are
// refused once no search for credits is in progress.
func (s *State) serveWaiters(budget string) {
	s.reserveForWaiters(budget)
	waiting := s.waiters[budget]
	s.applyActions(s.Quota.Request(budget, creditsNeeded(waiting), s.Clock.Now()))
	if len(waiting) == 0 || s.Quota.Searching(budget) {
		return
	}
	s.reserveForWaiters(budget)
	for _, refused := range s.waiters[budget] {
		s.recordRefusal(budget, refused.Amount)
		refused.Reply <- false
	}
	delete(s.waiters, budget)
}

// reserveForWaiters reserves the available credits for waiting requests. A request for
// more than is available is skipped and keeps its place in the queue.
func (s *State) reserveForWaiters(budget string) {
	balance := s.Quota.Balances.Get(budget)
	waiting := s.waiters[budget]
	kept := waiting[:0]
	for _, waiter := range waiting {
		if balance.Reserve(waiter.Amount) {
			waiter.Reply <- true
			continue
		}
		kept = append(kept, waiter)
	}
	s.waiters[budget] = kept
	if len(kept) == 0 {
		delete(s.waiters, budget)
	}
}

func creditsNeeded(waiting []Waiter) int64 {
	var need int64
	for _, waiter := range waiting {
		need += waiter.Amount
	}
	return need
}

// serveAllWaiters runs serveWaiters for each budget with waiting requests.
func (s *State) serveAllWaiters() {
	for budget := range s.waiters {
		s.serveWaiters(budget)
	}
}

// applyActions executes the actions that the quota manager requests.
func (s *State) applyActions(actions quota.Actions) {
	for _, request := range actions.GrantRequests {
		page := s.page(request.Budget)
		page.pending.Grants = append(page.pending.Grants, request)
		s.startUpdate(page)
	}
	for _, request := range actions.Refunds {
		page := s.page(request.Budget)
		page.pending.Refunds = append(page.pending.Refunds, request)
		s.startUpdate(page)
	}
	for _, request := range actions.Returns {
		page := s.page(request.Budget)
		page.pending.Returns = replaceReturn(page.pending.Returns, request)
		s.startUpdate(page)
	}
	s.sendQuotaMessages(actions)
}

// replaceReturn adds a return and removes an earlier one of the same budget, since each
// return has the total credits that the holder has returned.
func replaceReturn(list []account.Return, request account.Return) []account.Return {
	list = slices.DeleteFunc(list, func(earlier account.Return) bool {
		return earlier.Budget == request.Budget
	})
	return append(list, request)
}

// page returns the state of the account page of the budget and creates it on first use.
// While the layout is not known, it returns a state that only collects changes.
func (s *State) page(budget string) *pageState {
	if s.layout.Pages == 0 {
		collected, ok := s.unplaced[budget]
		if !ok {
			collected = &pageState{inFlight: true}
			s.unplaced[budget] = collected
		}
		return collected
	}
	name := account.PageName(budget, s.layout.Pages)
	page, ok := s.pages[name]
	if !ok {
		page = &pageState{pending: PageUpdate{CachedObject: store.Object{Name: name}}}
		s.pages[name] = page
	}
	return page
}

// startUpdate starts the pending update of the page unless it is empty, another one is in
// flight or, in a large fleet, the last one ended less than UpdateSpacing ago or failed
// less than QuotaInterval ago. Grant requests that waited get the amounts of now.
func (s *State) startUpdate(page *pageState) {
	update := page.pending
	if page.inFlight || update.empty() {
		return
	}
	now := s.Clock.Now()
	if s.isLargeFleet() {
		if now.Before(page.nextAt) {
			return
		}
		for index, request := range update.Grants {
			update.Grants[index] = s.Quota.Refresh(request, now)
		}
	}
	page.inFlight = true
	page.pending = PageUpdate{CachedObject: update.CachedObject}
	update.Purchased = make(map[string]int64)
	for _, budget := range update.budgets() {
		update.Purchased[budget] = s.purchased(budget)
	}
	s.IO.UpdatePage(update)
}

// purchased returns the purchased credits of the budget in the active generation, or
// zero if it has no such budget.
func (s *State) purchased(name string) int64 {
	active, ok := s.ActiveSnapshot.Load()
	if !ok {
		return 0
	}
	budget, _ := active.Budget(name)
	return budget.Purchased
}

func (u PageUpdate) empty() bool {
	return len(u.Grants)+len(u.Refunds)+len(u.Returns)+len(u.Reclaims)+len(u.WriteOffs)+len(u.Reads) == 0
}

// ownBudgets returns the budgets in which the update changes the record of this process.
func (u PageUpdate) ownBudgets() []string {
	var names []string
	for _, request := range u.Grants {
		names = append(names, request.Budget)
	}
	for _, request := range u.Returns {
		names = append(names, request.Budget)
	}
	for _, request := range u.Refunds {
		names = append(names, request.Budget)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// budgets returns all budgets that the update changes or reads.
func (u PageUpdate) budgets() []string {
	names := append(u.ownBudgets(), u.Reads...)
	for _, reclaim := range u.Reclaims {
		names = append(names, reclaim.Budget)
	}
	for _, writeOff := range u.WriteOffs {
		names = append(names, writeOff.Budget)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// PageUpdated is the result of a PageUpdate.
type PageUpdated struct {
	Update PageUpdate
	// Object and Page are the page as stored after the update. They are only valid
	// without an error.
	Object store.Object
	Page   account.Page
	Err    error
}

// Apply implements control.Message.
func (m PageUpdated) Apply(state *State) {
	page := state.pages[m.Update.CachedObject.Name]
	page.inFlight = false
	now := state.Clock.Now()
	page.nextAt = now.Add(UpdateSpacing)
	if m.Err != nil {
		state.Log.Emit(event.GrantFailed, event.String("page", m.Update.CachedObject.Name), event.Cause(m.Err))
		page.pending.CachedObject = store.Object{Name: m.Update.CachedObject.Name}
		page.pending.Reads = append(page.pending.Reads, m.Update.Reads...)
		page.nextAt = now.Add(QuotaInterval)
	} else {
		page.pending.CachedObject = m.Object
	}
	for _, budget := range m.Update.ownBudgets() {
		if m.Err != nil {
			state.applyActions(state.Quota.HandleStoreFailure(budget, now))
		} else {
			view := m.Page.View(budget, state.Self, m.Update.Purchased[budget])
			state.applyActions(state.Quota.HandleAccount(budget, view, now))
			state.logGrant(budget)
		}
		state.serveWaiters(budget)
	}
	for _, budget := range m.Update.budgets() {
		state.startRecoveries(budget, m.Page)
	}
	if m.Err == nil {
		state.observeAccounts(m, now)
		state.startUpdate(page)
	}
}

// observeAccounts passes the other accounts of the page to the quota manager, which were
// read along with those of the update. An account of which a read was requested need not
// exist yet.
func (s *State) observeAccounts(m PageUpdated, now time.Time) {
	updated := m.Update.ownBudgets()
	observed := slices.AppendSeq(slices.Clone(m.Update.Reads), maps.Keys(m.Page.Accounts))
	slices.Sort(observed)
	for _, budget := range slices.Compact(observed) {
		if s.hasAllocation(budget) && !slices.Contains(updated, budget) {
			s.Quota.ObserveAccount(budget, m.Page.View(budget, s.Self, s.purchased(budget)), now)
		}
	}
}

func (s *State) logGrant(budget string) {
	allocation := s.Quota.Allocation(budget)
	level := allocation.Balance.Level()
	s.Log.Emit(event.QuotaGranted, event.String("budget", budget), event.Int("purchased", allocation.Purchased),
		event.Int("granted", allocation.Granted), event.Int("held", level.Available),
		event.Int("reserved", level.Reserved), event.Int("spent", level.Spent),
		event.Int("refunded", allocation.Refunded), event.Int("remaining", allocation.Remaining),
		event.Int("lost", allocation.Lost),
		event.Int("demand_per_second", int64(allocation.Demand.Rate)))
}

// startAllUpdates starts the pending updates of all pages, including the reads that are
// repeated after a failed update.
func (s *State) startAllUpdates() {
	for _, page := range s.pages {
		s.startUpdate(page)
	}
}
