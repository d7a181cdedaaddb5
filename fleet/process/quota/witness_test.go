package quota_test

import (
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quota"
)

// reclaim reclaims the quota of the first node through the witnesses that the store
// records for it.
func (w *cluster) reclaim(t *testing.T) {
	t.Helper()
	lost := w.nodes[0]
	record := w.page().Accounts[budget].Holders[lost.id]
	recovery, ok := quota.NewRecovery(budget, lost.id, record)
	if !ok {
		t.Fatalf("recovery of %+v: got false, want true", record)
	}
	for _, request := range recovery.FenceRequests("z") {
		recovery.HandleFenceReply(w.receiver(request).witness.Fence(request))
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
	w.checkOutstanding(t)
}

// checkOutstanding checks that the used and the usable credits are within what the
// account has granted.
func (w *cluster) checkOutstanding(t *testing.T) {
	t.Helper()
	used, usable := w.used()
	if out := w.page().Accounts[budget].Outstanding(); used+usable > out {
		t.Errorf("used and usable: got %d + %d, want at most %d", used, usable, out)
	}
}

// dropMessagesTo drops the messages in flight to the nodes.
func (w *cluster) dropMessagesTo(receivers ...ident.Incarnation) {
	w.messages = slices.DeleteFunc(w.messages, func(message any) bool {
		return slices.Contains(receivers, w.receiver(message).id)
	})
}

// witnessed returns a cluster in which b and c witness the ceiling of the first node,
// which has unacknowledged credits.
func witnessed(t *testing.T) (*cluster, *node) {
	t.Helper()
	w := newCluster(5, 100_000, policies["shrinking"])
	holder := w.nodes[0]
	w.tick(time.Second)
	w.execute(holder, holder.manager.Request(budget, 100, w.now))
	w.deliverAll()
	if !holder.balance.Reserve(100) {
		t.Fatal("reserve: got false, want true")
	}
	holder.balance.Settle(100, 100)
	holder.manager.Request(budget, 0, w.now)
	w.tick(time.Second)
	w.deliverAll()
	if got := holder.manager.Allocation(budget).Unacknowledged(); got < 2_000 {
		t.Fatalf("unacknowledged: got %d, want at least 2000", got)
	}
	want := []ident.Incarnation{"b", "c"}
	if got := w.page().Accounts[budget].Holders["a"].Witnesses; !slices.Equal(got, want) {
		t.Fatalf("witnesses: got %v, want %v", got, want)
	}
	return w, holder
}

func TestReclaimLeavesWhatAPausedHolderCanSpend(t *testing.T) {
	w, holder := witnessed(t)
	w.reclaim(t)
	before := holder.manager.Allocation(budget).Ceiling
	for range 5 {
		w.tick(time.Second)
		w.execute(holder, holder.manager.Request(budget, 9_000, w.now))
		w.deliverAll()
		w.checkOutstanding(t)
	}
	if got := holder.manager.Allocation(budget).Ceiling; got != before {
		t.Errorf("ceiling: got %d, want %d", got, before)
	}
}

func TestWitnessSetChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *cluster, holder *node)
		want   []ident.Incarnation
	}{
		{"confirmed", func(w *cluster, _ *node) {
			w.deliverAll()
			w.tick(2 * time.Second)
			w.deliverAll()
		}, []ident.Incarnation{"d", "e"}},
		{"not acknowledged", func(w *cluster, _ *node) {
			w.dropMessagesTo("d", "e")
			w.deliverAll()
		}, []ident.Incarnation{"b", "c"}},
		{"not recorded", func(w *cluster, holder *node) {
			for range 3 {
				w.dropMessagesTo("b", "c")
				for _, message := range w.messages {
					w.deliver(message)
				}
				w.takeWrites()
				w.execute(holder, holder.manager.HandleStoreFailure(budget, w.now))
				w.execute(holder, holder.manager.Request(budget, 1_500, w.now))
				w.tick(2 * time.Second)
			}
		}, []ident.Incarnation{"b", "c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, holder := witnessed(t)
			holder.manager.SetPeers([]ident.Incarnation{"d", "e"})
			w.tick(2 * time.Second)
			test.change(w, holder)
			if got := w.page().Accounts[budget].Holders["a"].Witnesses; !slices.Equal(got, test.want) {
				t.Errorf("witnesses: got %v, want %v", got, test.want)
			}
			w.reclaim(t)
		})
	}
}
