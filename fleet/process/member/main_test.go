package member_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless one is given by flag, so that
// runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed != nil && seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
