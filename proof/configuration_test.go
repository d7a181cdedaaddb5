package proof_test

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"jacinthpaddle.example/proof/process/harness"
)

// Exit codes of the operators' CLI.
const (
	exitOK          = 0
	exitFaults      = 1
	exitUnconfirmed = 3
)

// rollbackWatchTime is how long the test watches for a return to an older generation.
const rollbackWatchTime = 2 * time.Second

func TestConfiguration(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 20, Routers: 4, Endpoints: 1})
	checkGeneration(t, f, 1)
	t.Run("confirmed by all", func(t *testing.T) {
		f.MustApply(t, harness.DeclarationsWith("[budget annex]\npurchased = 1000000", "[budget annex]\npurchased = 1500000"))
		checkGeneration(t, f, 2)
	})
	t.Run("broken reference", func(t *testing.T) {
		folder := f.WriteDeclarations(t, harness.DeclarationsWith("budget = annex", "budget = nobody"))
		checkApplyRefused(t, f, "apply", "--dir", folder)
		checkGeneration(t, f, 2)
	})
	t.Run("two operators", func(t *testing.T) { checkTwoOperators(t, f) })
	t.Run("start without the store", func(t *testing.T) { checkStartWithoutStore(t, f) })
	t.Run("no rollback", func(t *testing.T) { checkNoRollback(t, f) })
}

// checkTwoOperators publishes two edits of the same generation concurrently. One is
// refused, and its error names the object and field that the other has changed.
func checkTwoOperators(t *testing.T, f *harness.Fleet) {
	const base = "2"
	folders := []string{
		f.WriteDeclarations(t, editedDeclarations("timeout = 20s", "timeout = 25s")),
		f.WriteDeclarations(t, editedDeclarations("stall = 2s", "stall = 3s")),
	}
	var group sync.WaitGroup
	results := make([]harness.CommandResult, len(folders))
	for index, folder := range folders {
		group.Go(func() { results[index] = f.RunCLI("apply", "--dir", folder, "--base", base) })
	}
	group.Wait()
	conflicting, changed := results[0], "stall"
	if conflicting.Exit == exitOK {
		conflicting, changed = results[1], "timeout"
	}
	if got := results[0].Exit + results[1].Exit; got != exitOK+exitFaults {
		t.Errorf("exits: got %d and %d, want %d and %d", results[0].Exit, results[1].Exit, exitOK, exitFaults)
	}
	for _, named := range []string{"small", changed} {
		if !strings.Contains(conflicting.Output, named) {
			t.Errorf("conflict: got an error that does not name %q\n%s", named, conflicting.Output)
		}
	}
	awaitGeneration(t, f, 3)
}

// editedDeclarations returns the declarations of generation 2 with one text
// replaced.
func editedDeclarations(old, replacement string) string {
	content := harness.DeclarationsWith("[budget annex]\npurchased = 1000000", "[budget annex]\npurchased = 1500000")
	return strings.Replace(content, old, replacement, 1)
}

// checkStartWithoutStore replaces a router while the store is unavailable. The new
// process loads the generation from its peers and serves callers.
func checkStartWithoutStore(t *testing.T, f *harness.Fleet) {
	f.SetPlatformFaults(t, harness.PlatformFaults{Down: true})
	defer f.SetPlatformFaults(t, harness.PlatformFaults{})
	f.Routers[0].Process.Kill()
	f.StartRouter(t, 0)
	awaitGeneration(t, f, 3)
	if _, err := harness.NewClient(t).Locate(t.Context(), f.Routers[0].CallerAddress(), harness.HallKey); err != nil {
		t.Errorf("locate at the new router: got %v, want no error", err)
	}
}

// checkNoRollback publishes while one router is suspended, so that it resumes with an
// older generation, and restarts another. No router returns to the older generation.
func checkNoRollback(t *testing.T, f *harness.Fleet) {
	f.Routers[2].Process.Signal(syscall.SIGSTOP)
	folder := f.WriteDeclarations(t, editedDeclarations("[budget hall]\npurchased = 1000000", "[budget hall]\npurchased = 5000000"))
	if got := f.RunCLI("apply", "--dir", folder, "--wait", "2s"); got.Exit != exitUnconfirmed {
		t.Errorf("apply with a suspended router: got exit %d, want %d\n%s", got.Exit, exitUnconfirmed, got.Output)
	}
	f.Routers[1].Process.Kill()
	f.StartRouter(t, 1)
	f.Routers[2].Process.Signal(syscall.SIGCONT)
	awaitGeneration(t, f, 4)
	end := time.Now().Add(rollbackWatchTime)
	for time.Now().Before(end) {
		checkGeneration(t, f, 4)
		harness.Sleep(t.Context(), harness.PollInterval)
	}
}

// checkApplyRefused runs the CLI and asserts that it reports faults.
func checkApplyRefused(t *testing.T, f *harness.Fleet, args ...string) harness.CommandResult {
	t.Helper()
	got := f.RunCLI(args...)
	if got.Exit != exitFaults {
		t.Errorf("%s: got exit %d, want %d\n%s", strings.Join(args, " "), got.Exit, exitFaults, got.Output)
	}
	return got
}

// checkGeneration asserts that the generation is active at all routers.
func checkGeneration(t *testing.T, f *harness.Fleet, want int64) {
	t.Helper()
	for _, router := range f.Routers {
		state, err := router.Dump()
		if err != nil || state.Generation != want {
			t.Errorf("%s: got generation %d (%v), want %d", router.VM.Name, state.Generation, err, want)
		}
	}
}

// awaitGeneration waits until the generation is active at all routers.
func awaitGeneration(t *testing.T, f *harness.Fleet, want int64) {
	t.Helper()
	for _, router := range f.Routers {
		harness.Await(t, fmt.Sprintf("%s to have generation %d", router.VM.Name, want), func() bool {
			state, err := router.Dump()
			return err == nil && state.Generation == want
		})
	}
}
