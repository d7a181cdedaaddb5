package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/quarantine"
)

var start = time.Unix(0, 0)

// crash returns the failure of a request at an endpoint.
func crash(request, endpoint string, parts ...quarantine.Part) quarantine.Failure {
	return quarantine.Failure{Request: ident.Request(request), Endpoint: endpoint, Parts: parts}
}

func TestQuarantineNeedsSeveralRequestsAndCrashes(t *testing.T) {
	tests := []struct {
		name     string
		failures []quarantine.Failure
		// interval is the time between two failures.
		interval time.Duration
		want     bool
	}{
		{"three requests at three endpoints", []quarantine.Failure{crash("1", "a", "p"), crash("2", "b", "p"), crash("3", "c", "p")}, 0, true},
		{"two requests", []quarantine.Failure{crash("1", "a", "p"), crash("1", "b", "p"), crash("2", "c", "p"), crash("2", "d", "p")}, 0, false},
		{"two crashes", []quarantine.Failure{crash("1", "a", "p"), crash("2", "a", "p"), crash("3", "b", "p")}, 0, false},
		{"an endpoint that starts again under its name", []quarantine.Failure{crash("1", "a", "p"), crash("2", "a", "p"), crash("3", "b", "p")}, 2 * time.Second, true},
		{"one faulty endpoint", []quarantine.Failure{crash("1", "a", "p"), crash("2", "a", "p"), crash("3", "a", "p"), crash("4", "a", "p")}, 2 * time.Second, false},
		{"repeated reports", []quarantine.Failure{crash("1", "a", "p"), crash("2", "b", "p"), crash("2", "b", "p"), crash("1", "a", "p")}, 0, false},
		{"other parts", []quarantine.Failure{crash("1", "a", "p"), crash("2", "b", "q"), crash("3", "c", "r")}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := quarantine.New(quarantine.Defaults())
			now := start
			for _, failure := range test.failures {
				tracker.Add(failure, now)
				now = now.Add(test.interval)
			}
			if _, got := tracker.View().Quarantined([]quarantine.Part{"p"}); got != test.want {
				t.Errorf("quarantined: got %t, want %t", got, test.want)
			}
		})
	}
}

// Sound requests share the other parts of the prompts that crash endpoints. They are
// cleared by the responses that begin meanwhile.
func TestBegunResponsesClearSharedParts(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	for number := range 4 {
		tracker.Add(crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "shared", "deadly"), start)
		if !tracker.Clear("shared") {
			t.Error("clear after a failure: got no change, want one")
		}
	}
	view := tracker.View()
	if _, got := view.Quarantined([]quarantine.Part{"shared"}); got {
		t.Error("shared part: got quarantined, want not")
	}
	if got, _ := view.Quarantined([]quarantine.Part{"shared", "deadly"}); got != "deadly" {
		t.Errorf("quarantined part: got %q, want deadly", got)
	}
	if tracker.Clear("shared") {
		t.Error("repeated clear: got a change, want none")
	}
	// A crash of all endpoints makes every part a suspect until a response begins.
	if !tracker.Clear("deadly") || len(tracker.View().Groups) != 0 {
		t.Error("clear of a quarantined part: got it kept, want it dropped")
	}
}

// The last copy of a failure, passed on by another peer, arrived after its parts were
// cleared, made them suspects once more and was passed on again, without end.
func TestClearedPartsAreNotSuspectedByCopies(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	failure := crash("1", "a", "shared")
	tracker.Add(failure, start)
	tracker.Clear("shared")
	if tracker.Add(failure, start.Add(time.Second)) || len(tracker.Suspects) != 0 {
		t.Error("copy of a failure: got it added, want it ignored")
	}
	for number := range tracker.Config.MaxKnown {
		tracker.Add(crash(fmt.Sprint("request-", number), "a"), start)
	}
	if got, want := len(tracker.Known), tracker.Config.MaxKnown; got != want {
		t.Errorf("known failures: got %d, want %d", got, want)
	}
	tracker.Expire(start.Add(tracker.Config.Memory))
	if got := len(tracker.Known); got != 0 {
		t.Errorf("known failures in the end: got %d, want 0", got)
	}
}

func TestFailuresAreForgotten(t *testing.T) {
	config := quarantine.Defaults()
	tracker := quarantine.New(config)
	for number := range 3 {
		tracker.Add(crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "p"), start.Add(time.Duration(number)*time.Second))
	}
	if tracker.Expire(start.Add(config.Memory - 1)) {
		t.Error("expiry before the memory: got a change, want none")
	}
	if !tracker.Expire(start.Add(config.Memory)) || len(tracker.View().Groups) != 0 {
		t.Error("expiry of the first failure: got it kept or the part quarantined, want neither")
	}
	// Two failures still count, so that one more is enough.
	tracker.Add(crash("4", "endpoint-4", "p"), start.Add(config.Memory))
	if len(tracker.View().Groups) != 1 {
		t.Error("another failure: got no quarantine, want one")
	}
	tracker.Expire(start.Add(3 * config.Memory))
	if got := len(tracker.Suspects); got != 0 {
		t.Errorf("suspects in the end: got %d, want 0", got)
	}
}

// A process that joins learns the failures of the others, as old as they are. Failures
// that are passed on for ever would never be forgotten.
func TestFailuresArePassedOnWithTheirAge(t *testing.T) {
	config := quarantine.Defaults()
	known, joining := quarantine.New(config), quarantine.New(config)
	for number := range 3 {
		known.Add(crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "p"), start)
	}
	later := start.Add(config.Memory / 2)
	for _, failure := range known.Failures(later) {
		if !joining.Add(failure, later) {
			t.Errorf("failure %v: got known, want new", failure)
		}
	}
	if len(joining.View().Groups) != 1 {
		t.Error("joining process: got no quarantine, want one")
	}
	joining.Expire(start.Add(config.Memory))
	if got := len(joining.Suspects); got != 0 {
		t.Errorf("suspects of the joining process in the end: got %d, want 0", got)
	}
	for _, age := range []time.Duration{-time.Second, config.Memory} {
		if joining.Add(quarantine.Failure{Request: "x", Endpoint: "a", Parts: []quarantine.Part{"p"}, Age: age}, later) {
			t.Errorf("failure of age %s: got it added, want it ignored", age)
		}
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	config := quarantine.Defaults()
	config.MaxParts, config.MaxFailures = 3, 4
	tracker := quarantine.New(config)
	for number := range 20 {
		tracker.Add(crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "deadly"), start)
	}
	for number := range 20 {
		part := quarantine.Part(fmt.Sprint("part-", number))
		tracker.Add(crash(fmt.Sprint("other-", number), "endpoint-1", part), start.Add(time.Duration(number+1)*time.Second))
	}
	if got := len(tracker.Suspects); got != config.MaxParts {
		t.Errorf("suspects: got %d, want %d", got, config.MaxParts)
	}
	if got := len(tracker.Suspects["deadly"]); got != config.MaxFailures {
		t.Errorf("failures of one part: got %d, want %d", got, config.MaxFailures)
	}
	if len(tracker.View().Groups) != 1 {
		t.Error("quarantined part: got it dropped for newer suspects, want it kept")
	}
}

func TestViewOfSuspects(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	tracker.Add(crash("1", "a", "p"), start)
	view := tracker.View()
	parts := []quarantine.Part{"q", "p"}
	if got, want := view.Suspects(parts), []quarantine.Part{"p"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}
	if view.FailedElsewhere(parts, "a") {
		t.Error("failed elsewhere than at a: got true, want false")
	}
	if !view.FailedElsewhere(parts, "b") {
		t.Error("failed elsewhere than at b: got false, want true")
	}
}

// All requests with the part that crashed endpoints also had another part in common.
// Sound requests with only that one would be refused and could never clear it.
func TestPartsThatFailTogether(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	for number := range 3 {
		tracker.Add(crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "topic", "deadly"), start)
	}
	// A sound request that a crash cut off adds no endpoint.
	tracker.Add(crash("sound", "endpoint-1", "topic"), start)
	both, topic, deadly := []quarantine.Part{"topic", "deadly"}, []quarantine.Part{"topic"}, []quarantine.Part{"deadly"}
	quarantined := func(parts []quarantine.Part) bool {
		_, found := tracker.View().Quarantined(parts)
		return found
	}
	if !quarantined(both) || quarantined(topic) || quarantined(deadly) {
		t.Errorf("prompts with both, the topic, the cause: got %t, %t, %t, want only the first refused", quarantined(both), quarantined(topic), quarantined(deadly))
	}
	tracker.Add(crash("4", "endpoint-4", "deadly"), start)
	if !quarantined(both) || quarantined(topic) || !quarantined(deadly) {
		t.Errorf("the same after a crash without the topic: got %t, %t, %t, want the topic alone let through", quarantined(both), quarantined(topic), quarantined(deadly))
	}
	tracker.Clear("topic")
	if !quarantined(both) || quarantined(topic) {
		t.Error("after a response under the topic: got it quarantined or the cause released, want neither")
	}
}
