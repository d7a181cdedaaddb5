package boot_test

import (
	"testing"

	"jacinthpaddle.example/fleet/process/boot"
)

func TestReadsOfOneBoot(t *testing.T) {
	first, err := boot.Read()
	if err != nil {
		t.Skipf("this system tells no boot: %v", err)
	}
	second, err := boot.Read()
	if err != nil {
		t.Fatal(err)
	}
	if first.ID == "" || first.ID != second.ID {
		t.Errorf("ids: got %q and %q, want the same one", first.ID, second.ID)
	}
	if first.Uptime <= 0 || second.Uptime < first.Uptime {
		t.Errorf("uptimes: got %s and %s, want them to grow", first.Uptime, second.Uptime)
	}
}
