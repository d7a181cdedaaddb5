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
func (c *cluster) reclaim(t *testing.T) {
	t.Helper()
	lost := c.nodes[0]
	record := c.page().Accounts[budget].Holders[lost.id]
	recovery, ok := quota.NewRecovery(budget, lost.id, record)
	if !ok {
		t.Fatalf("recovery of %+v: got false, want true", record)
	}
	for _, request := range recovery.FenceRequests("z") {
		recovery.HandleFenceReply(c.receiver(request).witness.Fence(request))
	}
	reclaim, ok := recovery.Reclaim()
	if !ok {
		t.Fatal("reclaim: got false, want true")
	}
	page := c.page()
	page.Reclaim(reclaim)
	page.Compact()
	value, err := page.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.value = value
	c.version++
	c.checkOutstanding(t)
}

// checkOutstanding checks that the used and the usable credits are within what the
// account has granted.
func (c *cluster) checkOutstanding(t *testing.T) {
	t.Helper()
	used, usable := c.used()
	if outstanding := c.page().Accounts[budget].Outstanding(); used+usable > outstanding {
		t.Errorf("used and usable: got %d + %d, want at most %d", used, usable, outstanding)
	}
}

// dropMessagesTo drops the messages in flight to the nodes.
func (c *cluster) dropMessagesTo(receivers ...ident.Incarnation) {
	c.messages = slices.DeleteFunc(c.messages, func(message any) bool {
		return slices.Contains(receivers, c.receiver(message).id)
	})
}

// witnessed returns a cluster in which b and c witness the ceiling of the first node,
// which has unacknowledged credits.
func witnessed(t *testing.T) (*cluster, *node) {
	t.Helper()
	c := newCluster(5, 100_000, policies["shrinking"])
	holder := c.nodes[0]
	c.tick(time.Second)
	c.execute(holder, holder.manager.Request(budget, 100, c.now))
	c.deliverAll()
	if !holder.balance.Reserve(100) {
		t.Fatal("reserve: got false, want true")
	}
	holder.balance.Settle(100, 100)
	holder.manager.Request(budget, 0, c.now)
	c.tick(time.Second)
	c.deliverAll()
	if got := holder.manager.Allocation(budget).Unacknowledged(); got < 2_000 {
		t.Fatalf("unacknowledged: got %d, want at least 2000", got)
	}
	want := []ident.Incarnation{"b", "c"}
	if got := c.page().Accounts[budget].Holders["a"].Witnesses; !slices.Equal(got, want) {
		t.Fatalf("witnesses: got %v, want %v", got, want)
	}
	return c, holder
}

func TestReclaimLeavesWhatAPausedHolderCanSpend(t *testing.T) {
	c, holder := witnessed(t)
	c.reclaim(t)
	before := holder.manager.Allocation(budget).Ceiling
	for range 5 {
		c.tick(time.Second)
		c.execute(holder, holder.manager.Request(budget, 9_000, c.now))
		c.deliverAll()
		c.checkOutstanding(t)
	}
	if got := holder.manager.Allocation(budget).Ceiling; got != before {
		t.Errorf("ceiling: got %d, want %d", got, before)
	}
}

func TestWitnessSetChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *cluster, holder *node)
		want   []ident.Incarnation
	}{
		{"acknowledged and recorded", func(c *cluster, _ *node) {
			c.deliverAll()
			c.tick(2 * time.Second)
			c.deliverAll()
		}, []ident.Incarnation{"d", "e"}},
		{"not acknowledged", func(c *cluster, _ *node) {
			c.dropMessagesTo("d", "e")
			c.deliverAll()
		}, []ident.Incarnation{"b", "c"}},
		{"not recorded", func(c *cluster, holder *node) {
			for range 3 {
				c.dropMessagesTo("b", "c")
				for _, message := range c.messages {
					c.deliver(message)
				}
				c.takeWrites()
				c.execute(holder, holder.manager.HandleStoreFailure(budget, c.now))
				c.execute(holder, holder.manager.Request(budget, 1_500, c.now))
				c.tick(2 * time.Second)
			}
		}, []ident.Incarnation{"b", "c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, holder := witnessed(t)
			holder.manager.SetPeers([]ident.Incarnation{"d", "e"})
			c.tick(2 * time.Second)
			test.change(c, holder)
			if got := c.page().Accounts[budget].Holders["a"].Witnesses; !slices.Equal(got, test.want) {
				t.Errorf("witnesses: got %v, want %v", got, test.want)
			}
			c.reclaim(t)
		})
	}
}
