package admission_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/snapshot"
)

func testConfig() *snapshot.Snapshot {
	return snapshot.New(1, declaration.Set{
		Teams: []declaration.Team{
			{Name: "hall", Budget: "hall", KeyDigests: []string{snapshot.KeyDigest("hall-key")}},
			{Name: "free", KeyDigests: []string{snapshot.KeyDigest("free-key")}},
		},
		Budgets: []declaration.Budget{{Name: "hall", Purchased: 1_000}},
		Pools: []declaration.Pool{
			{Name: "engines", Kind: declaration.EndpointPool, TokensPerEvent: 7},
			{Name: "desk", Kind: declaration.EndpointPool},
		},
		Paths: []declaration.Path{
			{Name: "drafts", Host: "a.example", Prefix: "/draft/", Kind: declaration.StreamPath, Resumable: true,
				Backends: []declaration.Backend{{Pool: "engines", Weight: 1}}, Timeout: 12 * time.Second,
				FirstByteGoal: time.Second, MaxEventGap: 500 * time.Millisecond, Attempts: 2},
			{Name: "once", Host: "a.example", Prefix: "/draft/once/", Kind: declaration.UnsafePath,
				Backends: []declaration.Backend{{Pool: "desk", Weight: 1}}, Timeout: time.Second, Attempts: 1},
			{Name: "open", Host: "a.example", Prefix: "/", Kind: declaration.SafePath, Public: true,
				Backends: []declaration.Backend{{Pool: "desk", Weight: 9}, {Pool: "engines", Weight: 1}}, Timeout: time.Second, Attempts: 2},
		},
	})
}

func TestPath(t *testing.T) {
	tests := []struct {
		name    string
		request admission.PathRequest
		path    string
		code    outcome.Code
	}{
		{"longest prefix", admission.PathRequest{Host: "a.example", Path: "/draft/once/7", Key: "hall-key"}, "once", ""},
		{"shorter prefix", admission.PathRequest{Host: "a.example", Path: "/draft/7", Key: "hall-key"}, "drafts", ""},
		{"prefix without its slash", admission.PathRequest{Host: "a.example", Path: "/draft"}, "open", ""},
		{"public path without a key", admission.PathRequest{Host: "a.example", Path: "/7"}, "open", ""},
		{"unknown host", admission.PathRequest{Host: "b.example", Path: "/draft/7", Key: "hall-key"}, "", outcome.NotFound},
		{"unknown key", admission.PathRequest{Host: "a.example", Path: "/draft/7", Key: "x"}, "", outcome.Unauthorized},
		{"no key", admission.PathRequest{Host: "a.example", Path: "/draft/7"}, "", outcome.Unauthorized},
		{"cost out of range", admission.PathRequest{Host: "a.example", Path: "/draft/7", Key: "hall-key", InputTokens: 1 << 62, MaxOutput: 1 << 62}, "", outcome.BadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan, err := admission.Path(testConfig(), test.request)
			var refused *outcome.Error
			if errors.As(err, &refused) && refused.Code != test.code {
				t.Errorf("code: got %s, want %s", refused.Code, test.code)
			}
			if plan.Target != test.path {
				t.Errorf("path: got %q, want %q (%v)", plan.Target, test.path, err)
			}
		})
	}
}

func TestPathPlanFollowsKind(t *testing.T) {
	stream, _ := admission.Path(testConfig(), admission.PathRequest{Host: "a.example", Path: "/draft/7", Key: "hall-key", InputTokens: 100, MaxOutput: 20})
	if got, want := stream.Reserve, int64(120); got != want {
		t.Errorf("reserve: got %d, want %d", got, want)
	}
	if !stream.Idempotent || !stream.Resumable || !stream.CancelOnDisconnect || stream.TokensPerEvent != 7 {
		t.Errorf("stream: got %+v", stream)
	}
	if got, want := stream.StallTimeout, 3*time.Second; got != want {
		t.Errorf("stall: got %s, want %s", got, want)
	}
	once, _ := admission.Path(testConfig(), admission.PathRequest{Host: "a.example", Path: "/draft/once/7", Key: "hall-key"})
	if once.Idempotent || once.CancelOnDisconnect || once.StallTimeout != once.Timeout {
		t.Errorf("request that is not idempotent: got %+v", once)
	}
	free, _ := admission.Path(testConfig(), admission.PathRequest{Host: "a.example", Path: "/draft/7", Key: "free-key", InputTokens: 100, MaxOutput: 20})
	if got := free.Reserve; got != 0 {
		t.Errorf("reserve of a team without a budget: got %d, want 0", got)
	}
}

func TestPathSplitsPoolsByWeight(t *testing.T) {
	counts := make(map[string]int)
	for splitValue := range uint64(1_000) {
		plan, err := admission.Path(testConfig(), admission.PathRequest{Host: "a.example", Path: "/7", SplitValue: splitValue})
		if err != nil {
			t.Fatal(err)
		}
		counts[plan.Pool.Name]++
	}
	if got, want := counts["desk"], 900; got != want {
		t.Errorf("requests to desk: got %d, want %d", got, want)
	}
}

func TestRequestsWithoutACommonHomeAreRefused(t *testing.T) {
	team := declaration.Team{Name: "hall", KeyDigests: []string{snapshot.KeyDigest("key")}, Regions: []string{"western", "southern"}}
	config := snapshot.New(1, declaration.Set{
		Teams:    []declaration.Team{team},
		Pools:    []declaration.Pool{{Name: "desk", Kind: declaration.EndpointPool}},
		Models:   []declaration.Model{{Name: "m", Pool: "desk", MaxOutput: 10, DefaultOutput: 10}},
		Services: []declaration.Service{{Name: "s", Pool: "desk"}},
		Routes: []declaration.Route{
			{Name: "m-west", Kind: declaration.ModelRoute, Target: "m", Regions: []string{"western"}},
			{Name: "m-central", Kind: declaration.ModelRoute, Target: "m", Regions: []string{"central"}},
			{Name: "s-any", Kind: declaration.ServiceRoute, Target: "s"},
			{Name: "s-central", Kind: declaration.ServiceRoute, Target: "s", Regions: []string{"central"}},
		},
		Paths: []declaration.Path{
			{Name: "p-west", Host: "a.example", Prefix: "/west/", Backends: []declaration.Backend{{Pool: "desk", Weight: 1}}, Regions: []string{"western", "central"}},
			{Name: "p-central", Host: "a.example", Prefix: "/central/", Backends: []declaration.Backend{{Pool: "desk", Weight: 1}}, Regions: []string{"central"}},
			{Name: "p-open", Host: "a.example", Prefix: "/open/", Public: true, Backends: []declaration.Backend{{Pool: "desk", Weight: 1}}, Regions: []string{"central"}},
		},
	})
	chat := func(model string) (admission.Plan, error) {
		return admission.Chat(config, team, admission.ChatRequest{Model: model})
	}
	path := func(target string) (admission.Plan, error) {
		return admission.Path(config, admission.PathRequest{Host: "a.example", Path: target, Key: "key"})
	}
	tests := []struct {
		name  string
		admit func() (admission.Plan, error)
		// allowed is a region in which the request may be served, or empty if it is refused.
		allowed string
	}{
		{"model", func() (admission.Plan, error) { return chat("m-west") }, "western"},
		{"model without a common home", func() (admission.Plan, error) { return chat("m-central") }, ""},
		{"service with the homes of the team", func() (admission.Plan, error) { return admission.Service(config, team, "s-any") }, "southern"},
		{"service without a common home", func() (admission.Plan, error) { return admission.Service(config, team, "s-central") }, ""},
		{"path", func() (admission.Plan, error) { return path("/west/1") }, "western"},
		{"path without a common home", func() (admission.Plan, error) { return path("/central/1") }, ""},
		{"public path, whatever the key", func() (admission.Plan, error) { return path("/open/1") }, "central"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan, err := test.admit()
			var refused *outcome.Error
			switch {
			case test.allowed != "" && (err != nil || !plan.Homes.Bound() || !plan.Homes.Allows(test.allowed)):
				t.Errorf("homes: got %+v and %v, want %s allowed", plan.Homes, err, test.allowed)
			case test.allowed == "" && (!errors.As(err, &refused) || refused.Code != outcome.NoHome || refused.Run != journal.NotRun || refused.Status() != http.StatusServiceUnavailable):
				t.Errorf("error: got %v, want %s, not run, with status 503", err, outcome.NoHome)
			}
		})
	}
}

// The priority of a team goes before that of the path. Requests that must be answered first
// are not recognized by endpoints otherwise.
func TestPriorityIsThatOfTheTeamOrThePath(t *testing.T) {
	urgent := 0
	set := testConfig().Set
	set.Teams = append(set.Teams, declaration.Team{Name: "urgent", KeyDigests: []string{snapshot.KeyDigest("urgent-key")}, Priority: &urgent})
	set.Paths[0].Priority = 2
	for key, want := range map[string]int{"urgent-key": 0, "hall-key": 2} {
		plan, err := admission.Path(snapshot.New(1, set), admission.PathRequest{Host: "a.example", Path: "/draft/7", Key: key})
		if err != nil || plan.Priority == nil || *plan.Priority != want {
			t.Errorf("priority with %s: got %v and %v, want %d", key, plan.Priority, err, want)
		}
	}
}
