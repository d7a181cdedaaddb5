package proof_test

import (
	"os"
	"testing"

	"jacinthpaddle.example/proof/process/harness"
)

// TestMain builds the programs under test once for all tests.
func TestMain(m *testing.M) {
	os.Exit(harness.Run(m))
}
