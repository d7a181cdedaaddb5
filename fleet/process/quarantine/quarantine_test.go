package quarantine_test

import (
	"fmt"
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

// clears returns whether a whole response with the part that ends at the time clears it.
func clears(tracker *quarantine.Tracker, part quarantine.Part, now time.Time) bool {
	return tracker.Clear(quarantine.Whole{Part: part}, now)
}

// Sound requests share the other parts of the prompts that crash endpoints. They are
// cleared by the responses that end meanwhile.
func TestWholeResponsesClearSharedParts(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	now := start
	for number := range 4 {
		tracker.Add(crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "shared", "deadly"), now)
		if !clears(tracker, "shared", now) {
			t.Error("clear after a failure: got no change, want one")
		}
		now = now.Add(tracker.Config.SoundFor)
	}
	view := tracker.View()
	if _, got := view.Quarantined([]quarantine.Part{"shared"}); got {
		t.Error("shared part: got quarantined, want not")
	}
	if got, _ := view.Quarantined([]quarantine.Part{"shared", "deadly"}); got != "deadly" {
		t.Errorf("quarantined part: got %q, want deadly", got)
	}
	if clears(tracker, "shared", now) {
		t.Error("repeated clear: got a change, want none")
	}
	if !clears(tracker, "deadly", now) || len(tracker.View().Groups) != 0 {
		t.Error("clear of a quarantined part: got it kept, want it dropped")
	}
}

// TestOrderOfReportsDoesNotMatter guards against a part that stays a suspect because the
// failure arrives after the whole response that voids it, or as many others do, before.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	soundFor := quarantine.Defaults().SoundFor
	tests := []struct {
		name string
		// after is the time from the whole response to the failures.
		after time.Duration
		want  bool
	}{
		{"failures before the response", -time.Second, false},
		{"failures just after it", soundFor - 1, false},
		{"failures later", soundFor, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start.Add(time.Minute)
			whole := quarantine.Whole{Part: "p", Age: 20 * time.Second}
			failed := func(tracker *quarantine.Tracker) {
				for number := range 3 {
					failure := crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "p")
					failure.Age = whole.Age - test.after
					tracker.Add(failure, now)
				}
			}
			failedFirst, wholeFirst := quarantine.New(quarantine.Defaults()), quarantine.New(quarantine.Defaults())
			failed(failedFirst)
			failedFirst.Clear(whole, now)
			wholeFirst.Clear(whole, now)
			failed(wholeFirst)
			for order, tracker := range map[string]*quarantine.Tracker{"failures first": failedFirst, "response first": wholeFirst} {
				if _, got := tracker.View().Quarantined([]quarantine.Part{"p"}); got != test.want {
					t.Errorf("%s: got quarantined %t, want %t", order, got, test.want)
				}
			}
		})
	}
}

// TestSoundPartThatCrashesCutOffIsNotQuarantined guards against a rare sound part whose
// requests were cut off by others' crashes before any of them ended. Endpoints start again
// under their names, so that the crashes differ and not the endpoints.
func TestSoundPartThatCrashesCutOffIsNotQuarantined(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	now := start
	for number := range 6 {
		endpoint := fmt.Sprint("endpoint-", number%2)
		tracker.Add(crash(fmt.Sprint("deadly-", number), endpoint, "shared", "deadly"), now)
		if number < 3 {
			tracker.Add(crash(fmt.Sprint("rare-", number), endpoint, "shared", "rare"), now.Add(time.Millisecond))
		}
		// One of its requests failed for another reason.
		if number == 4 {
			tracker.Add(crash("rare-4", "endpoint-2", "shared", "rare"), now.Add(time.Millisecond))
		}
		clears(tracker, "shared", now.Add(time.Second))
		now = now.Add(2 * time.Second)
	}
	view := tracker.View()
	if part, found := view.Quarantined([]quarantine.Part{"shared", "rare"}); found {
		t.Errorf("sound prompt: got refused because of %s, want accepted", part)
	}
	if part, found := view.Quarantined([]quarantine.Part{"shared", "deadly"}); !found || part != "deadly" {
		t.Errorf("deadly prompt: got %q %t, want refused because of deadly", part, found)
	}
}

// TestCrashOfAllEndpointsQuarantinesNothing guards against common parts that are refused
// after many endpoints crashed at one time, and could then never be cleared.
func TestCrashOfAllEndpointsQuarantinesNothing(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	clears(tracker, "shared", start)
	for number := range 20 {
		tracker.Add(crash(fmt.Sprint(number), fmt.Sprint("endpoint-", number), "shared"), start.Add(time.Second))
	}
	if _, found := tracker.View().Quarantined([]quarantine.Part{"shared"}); found {
		t.Error("common part: got quarantined, want accepted")
	}
}

// The last copy of a failure, passed on by another peer, arrived after its parts were
// cleared, made them suspects once more and was passed on again, without end.
func TestClearedPartsAreNotSuspectedByCopies(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	failure := crash("1", "a", "shared")
	tracker.Add(failure, start)
	clears(tracker, "shared", start)
	if added, _ := tracker.Add(failure, start.Add(time.Second)); added || len(tracker.Suspects) != 0 {
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
		if added, _ := joining.Add(failure, later); !added {
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
		if added, _ := joining.Add(quarantine.Failure{Request: "x", Endpoint: "a", Parts: []quarantine.Part{"p"}, Age: age}, later); added {
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
	tracker.Add(crash("2", "c", "p", "q"), start)
	tracker.Add(crash("3", "c", "p"), start)
	view := tracker.View()
	parts := []quarantine.Part{"q", "p"}
	for endpoint, want := range map[string]int{"a": 1, "b": 2, "c": 1} {
		if got := view.FailedElsewhere(parts, endpoint); got != want {
			t.Errorf("endpoints that failed beside %s: got %d, want %d", endpoint, got, want)
		}
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
	clears(tracker, "topic", start)
	if !quarantined(both) || quarantined(topic) {
		t.Error("after a response under the topic: got it quarantined or the cause released, want neither")
	}
}

// releasedTracker returns a tracker that has just released the parts "topic" and "deadly",
// which failed together three times, and "rare", which two of these crashes cut off.
func releasedTracker(t *testing.T) (*quarantine.Tracker, time.Time) {
	t.Helper()
	tracker := quarantine.New(quarantine.Defaults())
	for number := range 4 {
		endpoint := fmt.Sprint("endpoint-", number)
		tracker.Add(crash(fmt.Sprint("deadly-", number), endpoint, "topic", "deadly"), start)
		if number < 3 {
			tracker.Add(crash(fmt.Sprint("rare-", number), endpoint, "rare"), start)
		}
	}
	now := start.Add(tracker.Config.Memory)
	tracker.Expire(now)
	if groups := tracker.View().Groups; len(groups) != 0 {
		t.Fatalf("after the memory: got %v quarantined, want none", groups)
	}
	return tracker, now
}

// TestRelapse guards against a part that crashes endpoints each time that its quarantine ends,
// and against sound parts that are quarantined with it.
func TestRelapse(t *testing.T) {
	fail := func(tracker *quarantine.Tracker, now time.Time, parts ...quarantine.Part) {
		tracker.Add(crash("again", "endpoint-9", parts...), now)
	}
	tests := []struct {
		name   string
		happen func(tracker *quarantine.Tracker, now time.Time)
		prompt []quarantine.Part
		want   bool
	}{
		{"no failure", func(*quarantine.Tracker, time.Time) {}, []quarantine.Part{"topic", "deadly"}, false},
		{"one failure", func(tracker *quarantine.Tracker, now time.Time) { fail(tracker, now, "topic", "deadly") }, []quarantine.Part{"topic", "deadly"}, true},
		{"one part of the group alone", func(tracker *quarantine.Tracker, now time.Time) { fail(tracker, now, "topic", "deadly") }, []quarantine.Part{"topic"}, false},
		{"one failure of a part that was cut off before", func(tracker *quarantine.Tracker, now time.Time) { fail(tracker, now, "rare") }, []quarantine.Part{"rare"}, false},
		{"a whole response before the failure", func(tracker *quarantine.Tracker, now time.Time) {
			clears(tracker, "topic", now.Add(time.Second))
			clears(tracker, "deadly", now.Add(time.Second))
			fail(tracker, now.Add(time.Minute), "topic", "deadly")
		}, []quarantine.Part{"topic", "deadly"}, false},
		{"a whole response of the other part after the failure", func(tracker *quarantine.Tracker, now time.Time) {
			fail(tracker, now, "topic", "deadly")
			clears(tracker, "topic", now.Add(time.Second))
		}, []quarantine.Part{"deadly"}, true},
		{"longer than the memory after the failure", func(tracker *quarantine.Tracker, now time.Time) {
			fail(tracker, now, "topic", "deadly")
			tracker.Expire(now.Add(2 * tracker.Config.Memory))
		}, []quarantine.Part{"topic", "deadly"}, true},
		{"in the end", func(tracker *quarantine.Tracker, now time.Time) {
			fail(tracker, now, "topic", "deadly")
			for range 1_000 {
				now = now.Add(tracker.Config.Memory)
				tracker.Expire(now)
			}
			fail(tracker, now, "topic", "deadly")
		}, []quarantine.Part{"topic", "deadly"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker, now := releasedTracker(t)
			test.happen(tracker, now)
			if _, got := tracker.View().Quarantined(test.prompt); got != test.want {
				t.Errorf("quarantined: got %t, want %t", got, test.want)
			}
		})
	}
}
