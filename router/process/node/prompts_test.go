package node_test

import (
	"fmt"
	"testing"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/quarantine"
	"jacinthpaddle.example/router/process/node"
)

func promptFailure(number int) quarantine.Failure {
	return quarantine.Failure{
		Request:  ident.Request(fmt.Sprint("request-", number)),
		Endpoint: fmt.Sprint("engine-", number),
		Parts:    []quarantine.Part{"deadly"},
	}
}

// link connects a peer to the router.
func (r *testRouter) link(name ident.Incarnation) {
	linked := member.Member{Incarnation: name, VM: "vm-" + string(name), Started: r.clock.Now(), State: member.Live}
	r.thread.Send(node.LinkUp{Remote: name, Hello: peer.Hello{Member: linked}})
	r.waitForMessages()
}

// takePrompts returns the failures and whole responses that were sent since the last call,
// by recipient.
func (r *testRouter) takePrompts() map[ident.Incarnation]peer.Prompts {
	return control.Query(r.thread, func(*node.State) map[ident.Incarnation]peer.Prompts {
		sent := make(map[ident.Incarnation]peer.Prompts)
		for _, message := range r.io.sent {
			if message.Prompts != nil {
				prompts := sent[message.To]
				prompts.Failures = append(prompts.Failures, message.Prompts.Failures...)
				prompts.Whole = append(prompts.Whole, message.Prompts.Whole...)
				sent[message.To] = prompts
			}
		}
		r.io.sent = nil
		return sent
	})
}

// Each request with a part that crashes endpoints comes to another router, so that none of
// them saw enough crashes.
func TestFailuresOfPromptsAreSharedWithPeers(t *testing.T) {
	router := newTestRouter(t, 100)
	monitor := control.Query(router.thread, func(state *node.State) *node.PromptMonitor {
		return node.NewPromptMonitor(router.thread, state.PromptView)
	})
	router.link("b")
	router.link("c")
	router.takePrompts()
	monitor.ReportFailure(promptFailure(1))
	router.waitForMessages()
	router.tick()
	sent := router.takePrompts()
	if len(sent["b"].Failures) != 1 || len(sent["c"].Failures) != 1 {
		t.Errorf("failure seen here: got %+v sent, want it at both peers", sent)
	}
	for number := 1; number <= 3; number++ {
		router.deliver("b", peer.Message{Prompts: &peer.Prompts{Failures: []quarantine.Failure{promptFailure(number)}}})
	}
	router.tick()
	if got := len(router.takePrompts()["c"].Failures); got != 2 {
		t.Errorf("failures passed on: got %d, want the 2 that were new", got)
	}
	if _, found := monitor.View().Quarantined([]quarantine.Part{"deadly"}); !found {
		t.Error("part with failures at three routers: got accepted, want quarantined")
	}
	router.link("d")
	if got := len(router.takePrompts()["d"].Failures); got != 3 {
		t.Errorf("failures for a process that joins: got %d, want 3", got)
	}
	monitor.ReportWhole([]quarantine.Part{"deadly"})
	router.waitForMessages()
	router.tick()
	if got := len(router.takePrompts()["b"].Whole); got != 1 {
		t.Errorf("whole responses sent: got %d, want 1", got)
	}
	if _, found := monitor.View().Quarantined([]quarantine.Part{"deadly"}); found {
		t.Error("part with which a response ended: got quarantined, want accepted")
	}
	router.deliver("b", peer.Message{Prompts: &peer.Prompts{Whole: []quarantine.Whole{{Part: "deadly"}}}})
	router.tick()
	if got := router.takePrompts(); len(got) != 0 {
		t.Errorf("cleared part that is known: got %+v sent, want nothing", got)
	}
}

// TestSoundPartsAreReportedInAnyOrder guards against a failure that overtakes the whole
// response that voids it: a router that knows the part as sound tells its peers, with the
// age of the response, so that they do not keep each other's knowledge alive.
func TestSoundPartsAreReportedInAnyOrder(t *testing.T) {
	router := newTestRouter(t, 100)
	monitor := control.Query(router.thread, func(state *node.State) *node.PromptMonitor {
		return node.NewPromptMonitor(router.thread, state.PromptView)
	})
	router.link("b")
	monitor.ReportWhole([]quarantine.Part{"deadly"})
	router.waitForMessages()
	router.tick()
	if got := router.takePrompts(); len(got) != 0 {
		t.Errorf("whole response without suspects: got %+v sent, want nothing", got)
	}
	age := node.QuotaInterval
	router.tick()
	for number := range 3 {
		router.deliver("b", peer.Message{Prompts: &peer.Prompts{Failures: []quarantine.Failure{promptFailure(number)}}})
	}
	router.tick()
	if _, found := monitor.View().Quarantined([]quarantine.Part{"deadly"}); found {
		t.Error("sound part: got quarantined, want accepted")
	}
	whole := router.takePrompts()["b"].Whole
	if len(whole) != 1 || whole[0].Part != "deadly" || whole[0].Age < age {
		t.Errorf("whole responses sent: got %+v, want one of the part, at least %s old", whole, age)
	}
}
