package quota_test

import (
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// reclaim closes the record of the first node with the guards that the store
// has for it.
func (w *world) reclaim(t *testing.T) {
	t.Helper()
	lost := w.nodes[0]
	record := w.page().Accounts[budget].Holders[lost.id]
	recovery, ok := quota.NewRecovery(budget, lost.id, record)
	if !ok {
		t.Fatalf("recovery of %+v: got false, want true", record)
	}
	for _, freeze := range recovery.FenceRequests("z") {
		recovery.HandleFenceReply(w.receiver(freeze).guard.Fence(freeze))
	}
	reclaim, ok := recovery.Reclaim()
	if !ok {
		t.Fatal("reclaim: got false, want true")
	}
	page := w.page()
	page.Reclaim(reclaim)
	page.Compact()
	value, err := page.Encode()
	if err != nil {
		t.Fatal(err)
	}
	w.value = value
	w.version++
	w.checkOut(t)
}

func (w *world) checkOut(t *testing.T) {
	t.Helper()
	used, usable := w.used()
	if out := w.page().Accounts[budget].Outstanding(); used+usable > out {
		t.Errorf("used and usable: got %d + %d, want at most %d", used, usable, out)
	}
}

// lose drops the messages to the nodes.
func (w *world) lose(receivers ...ident.Incarnation) {
	w.mail = slices.DeleteFunc(w.mail, func(message any) bool {
		return slices.Contains(receivers, w.receiver(message).id)
	})
}

// guarded returns a world whose first node has rights guarded by b and c.
func guarded(t *testing.T) (*world, *node) {
	t.Helper()
	w := newWorld(5, 100_000, sizers["shrinking"])
	holder := w.nodes[0]
	w.tick(time.Second)
	w.obey(holder, holder.book.Request(budget, 100, w.now))
	w.settle()
	if !holder.purse.Reserve(100) {
		t.Fatal("reserve: got false, want true")
	}
	holder.purse.Settle(100, 100)
	holder.book.Request(budget, 0, w.now)
	w.tick(time.Second)
	w.settle()
	if got := holder.book.Allocation(budget).Unacknowledged(); got < 2_000 {
		t.Fatalf("parked: got %d, want at least 2000", got)
	}
	want := []ident.Incarnation{"b", "c"}
	if got := w.page().Accounts[budget].Holders["a"].Witnesses; !slices.Equal(got, want) {
		t.Fatalf("guards: got %v, want %v", got, want)
	}
	return w, holder
}

func TestReclaimLeavesWhatAPausedHolderCanSpend(t *testing.T) {
	w, holder := guarded(t)
	w.reclaim(t)
	before := holder.book.Allocation(budget).Ceiling
	for range 5 {
		w.tick(time.Second)
		w.obey(holder, holder.book.Request(budget, 9_000, w.now))
		w.settle()
		w.checkOut(t)
	}
	if got := holder.book.Allocation(budget).Ceiling; got != before {
		t.Errorf("ceiling: got %d, want %d", got, before)
	}
}

func TestGuardSetChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world, holder *node)
		want   []ident.Incarnation
	}{
		{"confirmed", func(w *world, _ *node) {
			w.settle()
			w.tick(2 * time.Second)
			w.settle()
		}, []ident.Incarnation{"d", "e"}},
		{"not acknowledged", func(w *world, _ *node) {
			w.lose("d", "e")
			w.settle()
		}, []ident.Incarnation{"b", "c"}},
		{"not recorded", func(w *world, holder *node) {
			for range 3 {
				w.lose("b", "c")
				for _, message := range w.mail {
					w.deliver(message)
				}
				w.take()
				w.obey(holder, holder.book.HandleStoreFailure(budget, w.now))
				w.obey(holder, holder.book.Request(budget, 1_500, w.now))
				w.tick(2 * time.Second)
			}
		}, []ident.Incarnation{"b", "c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, holder := guarded(t)
			holder.book.SetPeers([]ident.Incarnation{"d", "e"})
			w.tick(2 * time.Second)
			test.change(w, holder)
			if got := w.page().Accounts[budget].Holders["a"].Witnesses; !slices.Equal(got, test.want) {
				t.Errorf("guards: got %v, want %v", got, test.want)
			}
			w.reclaim(t)
		})
	}
}
