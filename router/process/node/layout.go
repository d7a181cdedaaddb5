package node

import (
	"time"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/event"
)

// LayoutRead has the layout of the accounts.
type LayoutRead struct {
	Layout account.Layout
}

// Apply implements control.Message. It moves the collected changes to their pages. A
// layout that is already known stays as it is.
func (m LayoutRead) Apply(state *State) {
	if state.layout.Pages != 0 {
		return
	}
	state.layout = m.Layout
	collected := state.unplaced
	state.unplaced = nil
	for budget, from := range collected {
		state.page(budget).pending.add(from.pending)
	}
	state.startAllUpdates()
}

// add adds the changes and reads of another update of accounts on the same page.
func (u *PageUpdate) add(other PageUpdate) {
	u.Grants = append(u.Grants, other.Grants...)
	u.Returns = append(u.Returns, other.Returns...)
	u.Refunds = append(u.Refunds, other.Refunds...)
	u.Reclaims = append(u.Reclaims, other.Reclaims...)
	u.WriteOffs = append(u.WriteOffs, other.WriteOffs...)
	u.Reads = append(u.Reads, other.Reads...)
}

// readLayout reads the layout of the accounts until that succeeds.
func (w *ioWorker) readLayout(proposed account.Layout, retry time.Duration, log *event.Log) {
	for w.ctx.Err() == nil {
		layout, err := account.ReadLayout(w.ctx, w.objects, proposed)
		if err == nil {
			w.thread.Send(LayoutRead{Layout: layout})
			return
		}
		log.Emit(event.LayoutFailed, event.Cause(err))
		sleep(w.ctx, w.pages.Clock, retry)
	}
}
