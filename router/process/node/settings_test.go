package node_test

import (
	"slices"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/setting"
	"jacinthpaddle.example/router/process/node"
)

const validSettings = `
[vm]
name = entry-1
address = 127.0.0.11
region = western
availability_zone = colombo-hall
[platform]
address = 127.0.0.1:9100
[fleet]
secret = sixteen-or-more-bytes
`

func TestLoadSettingsReportsAllFaults(t *testing.T) {
	tests := []struct {
		name    string
		content string
		want    []string
	}{
		{"valid", validSettings, nil},
		{"nothing set", "", []string{"vm.address", "vm.name", "vm.region", "vm.availability_zone", "platform.address", "fleet.secret"}},
		{"host name for an address", validSettings + "[vm]\naddress = entry-1.example\n", []string{"vm.address"}},
		{
			"unreadable and out of bounds",
			validSettings + "[listen]\npeer_port = many\ncaller_port = 7072\n[locate]\nttl = 0s\n[colour]\nname = red\n",
			[]string{"listen.peer_port", "colour.-", "listen.operators_port", "locate.ttl"},
		},
		{"bounds of limits", validSettings + "[limits]\nmax_body_bytes = 1\nmax_queue_wait = -1s\n", []string{"limits.max_body_bytes", "limits.max_queue_wait"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := node.LoadSettings([]byte(test.content))
			var faults *setting.FaultsError
			var got []string
			if errors.As(err, &faults) {
				for _, fault := range faults.Faults {
					got = append(got, fault.Section+"."+fault.Key)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("faults: got %v, want %v", got, test.want)
			}
		})
	}
}
