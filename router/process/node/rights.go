package node

import (
	"context"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/quota"
	"jacinthpaddle.example/fleet/process/store"
)

// CreditReserver sets credits aside for requests. It is safe for concurrent use.
type CreditReserver struct {
	thread *Thread
	purses *quota.Balances
}

// NewCreditReserver returns the wallet that asks the thread for more rights.
func NewCreditReserver(thread *Thread, purses *quota.Balances) *CreditReserver {
	return &CreditReserver{thread: thread, purses: purses}
}

// Reserve sets the amount aside and returns the purse to settle with, or false
// if neither the store nor the peers that can be reached have enough.
func (w *CreditReserver) Reserve(ctx context.Context, budget string, amount int64) (*quota.Balance, bool) {
	purse := w.purses.Get(budget)
	if purse.Reserve(amount) {
		return purse, true
	}
	answer := make(chan bool, 1)
	w.thread.Tell(CreditRequest{Budget: budget, Waiter: Waiter{Amount: amount, Reply: answer}})
	select {
	case granted := <-answer:
		return purse, granted
	case <-ctx.Done():
	}
	w.thread.Tell(CancelCreditRequest{Budget: budget, Answer: answer})
	return purse, <-answer
}

// refill lets the book look after its holdings, the more seldom the more processes
// draw on the store.
func (s *State) refill(now time.Time) {
	if now.Sub(s.refilled) < spaced(QuotaInterval, s.Quota.Supply.DirectHolders, HoldersPerRefillInterval) {
		return
	}
	s.refilled = now
	s.holdEarly(now)
	s.order(s.Quota.Tick(now))
	s.serveAll()
}

// holdEarly has a process that callers are sent to hold every budget before its
// first request, if they are few and nobody guards them: in a partition that comes
// first it could draw nothing.
func (s *State) holdEarly(now time.Time) {
	banked := len(s.Quota.Supply.Suppliers) > 0
	budgets := s.Generation.Set.Budgets
	if s.Quota.Sizing.UsesWitnesses() || banked || len(budgets) > MaxPrefetchedBudgets || now.Sub(s.Started) < PrefetchDelay {
		return
	}
	for _, budget := range budgets {
		s.hold(budget.Name)
	}
}

// hold makes sure that the process holds the budget, at first without rights. A
// process holds only the budgets that its callers or peers ask of it.
func (s *State) hold(budget string) {
	if !s.holds(budget) {
		s.Quota.SetPurchased(budget, s.purchased(budget))
	}
}

func (s *State) holds(budget string) bool {
	_, held := s.Quota.Allocations[budget]
	return held
}

// CreditRequest queues a request that waits for credits.
type CreditRequest struct {
	Budget string
	Waiter Waiter
}

// Apply implements control.Message.
func (m CreditRequest) Apply(state *State) {
	state.hold(m.Budget)
	state.waiters[m.Budget] = append(state.waiters[m.Budget], m.Waiter)
	state.serve(m.Budget)
}

// CancelCreditRequest ends the wait of one request. It is answered unless it was before.
type CancelCreditRequest struct {
	Budget string
	Answer chan<- bool
}

// Apply implements control.Message.
func (m CancelCreditRequest) Apply(state *State) {
	waiting := state.waiters[m.Budget]
	for index, waiter := range waiting {
		if waiter.Reply != m.Answer {
			continue
		}
		state.waiters[m.Budget] = append(waiting[:index], waiting[index+1:]...)
		state.Quota.AddRefused(m.Budget, waiter.Amount)
		waiter.Reply <- false
		state.serve(m.Budget)
		return
	}
}

// serve gives waiting requests what the purse has, in the order they came, and
// looks for more. Requests for which no more can be found are refused.
func (s *State) serve(budget string) {
	s.admit(budget)
	waiting := s.waiters[budget]
	s.order(s.Quota.Request(budget, needOf(waiting), s.Clock.Now()))
	if len(waiting) == 0 || s.Quota.Searching(budget) {
		return
	}
	s.admit(budget)
	for _, refused := range s.waiters[budget] {
		s.Quota.AddRefused(budget, refused.Amount)
		refused.Reply <- false
	}
	delete(s.waiters, budget)
}

// admit reserves for waiting requests as far as the purse reaches.
func (s *State) admit(budget string) {
	purse := s.Quota.Balances.Get(budget)
	waiting := s.waiters[budget]
	kept := waiting[:0]
	for _, waiter := range waiting {
		if purse.Reserve(waiter.Amount) {
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

func needOf(waiting []Waiter) int64 {
	var need int64
	for _, waiter := range waiting {
		need += waiter.Amount
	}
	return need
}

// serveAll looks again for what the waiting requests need.
func (s *State) serveAll() {
	for budget := range s.waiters {
		s.serve(budget)
	}
}

// order carries out what the book decided.
func (s *State) order(orders quota.Actions) {
	for _, draw := range orders.GrantRequests {
		page := s.page(draw.Budget)
		page.next.Grants = append(page.next.Grants, draw)
		s.dispatch(page)
	}
	for _, request := range orders.Refunds {
		page := s.page(request.Budget)
		page.next.Refunds = append(page.next.Refunds, request)
		s.dispatch(page)
	}
	for _, request := range orders.Returns {
		page := s.page(request.Budget)
		page.next.Returns = replaceReturn(page.next.Returns, request)
		s.dispatch(page)
	}
	s.sendRights(orders)
}

// replaceReturn adds a return in place of an earlier one of the same budget.
func replaceReturn(list []account.Return, request account.Return) []account.Return {
	list = slices.DeleteFunc(list, func(earlier account.Return) bool {
		return earlier.Budget == request.Budget
	})
	return append(list, request)
}

func (s *State) page(budget string) *pageState {
	name := account.PageName(budget, s.Settings.Quota.Pages)
	page, ok := s.pages[name]
	if !ok {
		page = &pageState{next: PageUpdate{CachedObject: store.Object{Name: name}}}
		s.pages[name] = page
	}
	return page
}

// dispatch starts the page's next job unless one is under way.
func (s *State) dispatch(page *pageState) {
	job := page.next
	if page.busy || job.empty() {
		return
	}
	page.busy = true
	page.next = PageUpdate{CachedObject: job.CachedObject}
	job.Purchased = make(map[string]int64)
	for _, budget := range job.budgets() {
		job.Purchased[budget] = s.purchased(budget)
	}
	s.IO.UpdatePage(job)
}

func (s *State) purchased(name string) int64 {
	view, ok := s.ActiveSnapshot.Load()
	if !ok {
		return 0
	}
	budget, _ := view.Budget(name)
	return budget.Purchased
}

func (j PageUpdate) empty() bool {
	return len(j.Grants)+len(j.Refunds)+len(j.Returns)+len(j.Reclaims)+len(j.WriteOffs)+len(j.Reads) == 0
}

// drawn returns the budgets in which this process draws or gives back rights.
func (j PageUpdate) drawn() []string {
	var names []string
	for _, draw := range j.Grants {
		names = append(names, draw.Budget)
	}
	for _, request := range j.Returns {
		names = append(names, request.Budget)
	}
	for _, request := range j.Refunds {
		names = append(names, request.Budget)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// budgets returns all budgets that the job is about.
func (j PageUpdate) budgets() []string {
	names := append(j.drawn(), j.Reads...)
	for _, reclaim := range j.Reclaims {
		names = append(names, reclaim.Budget)
	}
	for _, lost := range j.WriteOffs {
		names = append(names, lost.Budget)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// PageUpdated is the result of a PageJob.
type PageUpdated struct {
	Update PageUpdate
	Object store.Object
	Page   account.Page
	Err    error
}

// Apply implements control.Message.
func (m PageUpdated) Apply(state *State) {
	page := state.pages[m.Update.CachedObject.Name]
	page.busy = false
	now := state.Clock.Now()
	if m.Err != nil {
		state.Log.Emit(event.GrantFailed, event.Text("page", m.Update.CachedObject.Name), event.Cause(m.Err))
		page.next.CachedObject = store.Object{Name: m.Update.CachedObject.Name}
		page.next.Reads = append(page.next.Reads, m.Update.Reads...)
	} else {
		page.next.CachedObject = m.Object
	}
	for _, budget := range m.Update.drawn() {
		if m.Err != nil {
			state.order(state.Quota.HandleStoreFailure(budget, now))
		} else {
			view := m.Page.View(budget, state.Self, m.Update.Purchased[budget])
			state.order(state.Quota.HandleAccount(budget, view, now))
			state.logDrawn(budget)
		}
		state.serve(budget)
	}
	for _, budget := range m.Update.budgets() {
		state.consider(budget, m.Page)
	}
	if m.Err == nil {
		state.observe(m, now)
		state.dispatch(page)
	}
}

// observe tells the book of the accounts that were read along with those that the
// job was about.
func (s *State) observe(m PageUpdated, now time.Time) {
	drawn := m.Update.drawn()
	for budget := range m.Page.Accounts {
		if s.holds(budget) && !slices.Contains(drawn, budget) {
			s.Quota.ObserveAccount(budget, m.Page.View(budget, s.Self, s.purchased(budget)), now)
		}
	}
}

func (s *State) logDrawn(budget string) {
	holding := s.Quota.Allocation(budget)
	level := holding.Balance.Level()
	s.Log.Emit(event.QuotaGranted, event.Text("budget", budget), event.Number("purchased", holding.Purchased),
		event.Number("granted", holding.Granted), event.Number("held", level.Available),
		event.Number("reserved", level.Reserved), event.Number("spent", level.Spent),
		event.Number("refunded", holding.Refunded), event.Number("remaining", holding.Remaining),
		event.Number("demand_per_second", int64(holding.Demand.Rate)))
}

// dispatchAll starts jobs that wait since the store was away.
func (s *State) dispatchAll() {
	for _, page := range s.pages {
		s.dispatch(page)
	}
}
