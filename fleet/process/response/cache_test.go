package response_test

import (
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/response"
)

func TestCacheEvictsOldestFinished(t *testing.T) {
	tests := []struct {
		name   string
		limits response.CacheLimits
		wait   time.Duration
		want   response.CacheStats
	}{
		{"within bounds", response.CacheLimits{Entries: 3, Bytes: 30, Age: time.Hour}, 0, response.CacheStats{Running: 1, Finished: 3, Bytes: 30}},
		{"too many", response.CacheLimits{Entries: 2, Bytes: 30, Age: time.Hour}, 0, response.CacheStats{Running: 1, Finished: 2, Bytes: 20}},
		{"too large", response.CacheLimits{Entries: 3, Bytes: 19, Age: time.Hour}, 0, response.CacheStats{Running: 1, Finished: 1, Bytes: 10}},
		{"too old", response.CacheLimits{Entries: 3, Bytes: 30, Age: time.Hour}, time.Hour, response.CacheStats{Running: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clk := clock.NewFake()
			cache := response.NewCache[string, string](clk, test.limits)
			cache.GetOrCreate("running", func() string { return "value" })
			for _, key := range []string{"a", "b", "c"} {
				cache.GetOrCreate(key, func() string { return "value" })
				cache.Finish(key, 10)
			}
			clk.Advance(test.wait)
			if _, created := cache.GetOrCreate("running", func() string { return "other" }); created {
				t.Error("entry in progress: got evicted")
			}
			if got := cache.Stats(); got != test.want {
				t.Errorf("stats: got %+v, want %+v", got, test.want)
			}
			if _, created := cache.GetOrCreate("a", func() string { return "other" }); created == (test.want.Finished == 3) {
				t.Errorf("oldest: got created %t", created)
			}
		})
	}
}

func TestCacheRemove(t *testing.T) {
	cache := response.NewCache[string, int](clock.NewFake(), response.CacheLimits{Entries: 1, Bytes: 1, Age: time.Hour})
	cache.GetOrCreate("a", func() int { return 1 })
	cache.Remove("a")
	if got, created := cache.GetOrCreate("a", func() int { return 2 }); got != 2 || !created {
		t.Errorf("removed key: got %d, created %t, want 2, true", got, created)
	}
}
