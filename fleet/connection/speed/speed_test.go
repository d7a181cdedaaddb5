package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/speed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// square returns the factor of an endpoint that is slow and usual in turn, each for the
// time.
func square(each time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at/each%2 == 0 {
			return 2.5
		}
		return 1
	}
}

// meanError returns the mean error of the estimate and that of taking the last report as
// it is, for reports at random times and estimates at random ages.
func meanError(factor func(time.Duration) float64, meanGap time.Duration) (estimated, last float64) {
	random := rand.New(rand.NewPCG(7, 7))
	var estimator speed.Estimator
	const samples = 4000
	reported, at := 1.0, time.Duration(0)
	for range samples {
		next := at + time.Duration(random.ExpFloat64()*float64(meanGap))
		asked := at + time.Duration(random.Float64()*float64(next-at))
		estimated += math.Abs(estimator.Factor(start.Add(asked))-factor(asked)) / samples
		last += math.Abs(reported-factor(asked)) / samples
		at = next
		reported = factor(at)
		estimator.Observe(reported, start.Add(at))
	}
	return estimated, last
}

// A speed that changes ten times a second is known only by its mean to a router that gets
// a report in half a second. One that changes each 10 s is known by the last report.
func TestEstimateFollowsItsRateOfChange(t *testing.T) {
	var estimator speed.Estimator
	fast := square(100 * time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	at := time.Duration(0)
	for range 200 {
		at += time.Duration(random.ExpFloat64() * float64(500*time.Millisecond))
		estimator.Observe(fast(at), start.Add(at))
	}
	if got := estimator.Factor(start.Add(at + 300*time.Millisecond)); got < 1.4 || got > 2.1 {
		t.Errorf("changes ten times a second: got %.2f, want about the mean, 1.75", got)
	}
	estimated, last := meanError(fast, 500*time.Millisecond)
	if squareError := 0.75; estimated > 1.1*squareError {
		t.Errorf("changes ten times a second: got a mean error of %.2f (last report %.2f), want about that of the mean, %.2f",
			estimated, last, squareError)
	}
	estimated, last = meanError(square(10*time.Second), 500*time.Millisecond)
	if estimated > 0.1 {
		t.Errorf("changes each 10 s: got a mean error of %.2f (last report %.2f), want at most 0.1", estimated, last)
	}
}

func TestOldReportCountsLess(t *testing.T) {
	var estimator speed.Estimator
	estimator.Observe(3, start)
	before := math.Inf(1)
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second, time.Minute} {
		got := estimator.Factor(start.Add(age))
		if got >= before || got < 1 {
			t.Errorf("estimate after %s: got %.2f, want from 1 to below %.2f", age, got, before)
		}
		before = got
	}
	if before > 1.01 {
		t.Errorf("estimate after a minute: got %.2f, want 1", before)
	}
}

func TestEstimateIsBounded(t *testing.T) {
	tests := []struct {
		report, least, most float64
	}{
		{0.0001, speed.MinFactor, 1}, {1e9, 1, speed.MaxFactor}, {math.Inf(1), 1, speed.MaxFactor},
		{0, 1, 1}, {-3, 1, 1}, {math.NaN(), 1, 1},
	}
	for _, test := range tests {
		var estimator speed.Estimator
		for index := range 50 {
			estimator.Observe(test.report, start.Add(time.Duration(index)*time.Second))
		}
		if got := estimator.Factor(start.Add(50 * time.Second)); !(got >= test.least && got <= test.most) {
			t.Errorf("reports of %g: got %g, want from %g to %g", test.report, got, test.least, test.most)
		}
	}
}

func TestReportsAtTheSameTime(t *testing.T) {
	var estimator speed.Estimator
	for range 20 {
		estimator.Observe(2, start)
	}
	estimator.Observe(2, start.Add(-time.Second))
	if got := estimator.Factor(start.Add(-time.Minute)); !(got > 1.5 && got <= 2) {
		t.Errorf("estimate: got %g, want about 2", got)
	}
}

func TestFactorAllocatesNothing(t *testing.T) {
	var estimator speed.Estimator
	estimator.Observe(2, start)
	if got := testing.AllocsPerRun(100, func() { estimator.Factor(start.Add(time.Second)) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}
