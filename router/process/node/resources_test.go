package node_test

import (
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/setting"
	"jacinthpaddle.example/router/process/node"
)

// largestLegalRequest is the largest body of the hosting platform, with the memory that a
// head of 16,384 bytes takes at most.
const largestLegalRequest = 4<<20 + 16_384*4 + 16_384/3*128

func TestResourcesFollowFromTheVM(t *testing.T) {
	tests := map[string]struct {
		memoryMB, descriptors float64
		maxConnections        int
		callers, internal     int
	}{
		"unknown":             {0, 0, 0, 4096, 1024},
		"smallest VM":         {144, 3075, 0, 1437, 359},
		"many descriptors":    {144, 1 << 20, 0, 1536, 1024},
		"few descriptors":     {1024, 400, 0, 100, 25},
		"connections are set": {144, 3075, 64, 64, 359},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings := node.DefaultSettings()
			settings.VM.MemoryMB, settings.VM.Descriptors = test.memoryMB, test.descriptors
			settings.Limits.MaxConnections = test.maxConnections
			got := settings.Resources()
			if got.CallerConnections != test.callers || got.InternalConnections != test.internal {
				t.Errorf("connections: got %d and %d, want %d and %d",
					got.CallerConnections, got.InternalConnections, test.callers, test.internal)
			}
			memory := int64(test.memoryMB) << 20
			if memory > 0 && got.BufferedBytes > memory/4 {
				t.Errorf("memory: got %d, want at most a quarter of %d", got.BufferedBytes, memory)
			}
			if large := got.ReceivedBytes * 3 / 4; memory != 0 && large < largestLegalRequest {
				t.Errorf("memory of a large request: got %d, want at least %d", large, largestLegalRequest)
			}
		})
	}
}

func TestBadLimitsOfCallersAreRefused(t *testing.T) {
	const valid = "[vm]\nname = a\naddress = 127.0.0.1\nregion = r\navailability_zone = z\n" +
		"[platform]\naddress = 127.0.0.1:1\n[fleet]\nsecret = 0123456789abcdef\n"
	if _, err := node.LoadSettings([]byte(valid)); err != nil {
		t.Fatalf("valid settings: got %v, want no error", err)
	}
	tests := map[string]setting.Fault{
		"[vm]\nmemory_mb = 8\n":                      {Section: "vm", Key: "memory_mb"},
		"[vm]\ndescriptors = -1\n":                   {Section: "vm", Key: "descriptors"},
		"[limits]\nmax_received_bytes = 1000\n":      {Section: "limits", Key: "max_received_bytes"},
		"[limits]\nmax_received_bytes = 100000000\n": {Section: "limits", Key: "max_received_bytes"},
		"[limits]\nmax_header_lines = 0\n":           {Section: "limits", Key: "max_header_lines"},
		"[limits]\nmax_connections = 3\n":            {Section: "limits", Key: "max_connections"},
		"[limits]\nbody_stall_timeout = 0s\n":        {Section: "limits", Key: "body_stall_timeout"},
	}
	for text, want := range tests {
		_, err := node.LoadSettings([]byte(valid + text))
		var faults *setting.FaultsError
		if !errors.As(err, &faults) || len(faults.Faults) != 1 {
			t.Errorf("%q: got %v, want one fault", text, err)
			continue
		}
		got := faults.Faults[0]
		if got.Section != want.Section || got.Key != want.Key || got.Reason == "" {
			t.Errorf("%q: got %+v, want %s.%s and a reason", text, got, want.Section, want.Key)
		}
	}
}
