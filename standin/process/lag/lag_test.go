package lag_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/standin/process/lag"
)

func TestGetLags(t *testing.T) {
	tests := []struct {
		name string
		wait time.Duration
		want int
	}{
		{"without waiting", 0, 0},
		{"just before the lag", time.Second - 1, 0},
		{"after the lag of the first", time.Second, 1},
		{"after the lag of both", 2 * time.Second, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clk := clock.NewFake()
			value := lag.New(clk, time.Second, 0)
			value.Set(1)
			clk.Advance(500 * time.Millisecond)
			value.Set(2)
			clk.Advance(test.wait - 500*time.Millisecond)
			if got := value.Get(); got != test.want {
				t.Errorf("value: got %d, want %d", got, test.want)
			}
			if got := value.Latest(); got != 2 {
				t.Errorf("latest: got %d, want 2", got)
			}
		})
	}
}
