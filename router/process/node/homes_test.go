package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/account"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/router/process/node"
)

// Operators see that a generation has routes that a team cannot use when it is taken, not
// only from refusals. The lines stay few if homes conflict on all of many routes.
func TestGenerationWithConflictingHomesIsLogged(t *testing.T) {
	var lines bytes.Buffer
	fake := clock.NewFake()
	out := &fakeIO{page: account.Page{Accounts: make(map[string]account.Account)}}
	log := event.NewLog(&lines, logrus.WarnLevel)
	state := node.NewState(member.Member{Incarnation: "self", VM: "entry-1", Started: fake.Now()}, node.DefaultSettings(), nil, fake, log, out)
	thread := control.New(state, func(value any) { t.Errorf("panic: %v", value) })
	out.thread = thread
	set := declaration.Set{Teams: []declaration.Team{{Name: "hall", Regions: []string{"western"}}}}
	for index := range 100 {
		set.Routes = append(set.Routes, declaration.Route{Name: fmt.Sprintf("route-%02d", index), Regions: []string{"central"}})
	}
	received, err := generation.New(7, set)
	if err != nil {
		t.Fatal(err)
	}
	thread.Send(node.GenerationReceived{Generation: received})
	control.Query(thread, func(*node.State) bool { return true })
	thread.Stop()
	var got []map[string]any
	for decoder := json.NewDecoder(&lines); decoder.More(); {
		var line map[string]any
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		got = append(got, line)
	}
	if len(got) != 16 {
		t.Fatalf("lines: got %d, want 16", len(got))
	}
	first := got[0]
	if first["event"] != float64(event.HomesDisjoint.Number) || first["name"] != "route-00" || first["team"] != "hall" || first["generation"] != float64(7) {
		t.Errorf("line: got %v, want event %d for route-00 and hall", first, event.HomesDisjoint.Number)
	}
}
