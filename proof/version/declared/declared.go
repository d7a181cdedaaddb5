// Package declared generates folders of declarations of a given size, for
// measurements and benchmarks.
//
// # Usage
//
//	err := declared.Write(folder, declared.Size{Teams: 10, Budgets: 10, Models: 1})
//	key := declared.Key(0) // API key of the first team
package declared

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

// Purchased is the purchased amount of each generated budget, in credits. It is
// high enough that no measurement exhausts a budget.
const Purchased = 1_000_000_000_000

// Size is the number of objects that a folder declares.
type Size struct {
	Teams   int
	Budgets int // at least 1 if there are teams
	Models  int
	// MaxInFlight is the limit of concurrent requests of each endpoint.
	MaxInFlight int
	// Revision changes the input price of every model, so that two revisions are
	// different generations.
	Revision int
}

// Key returns the API key of the team with the index.
func Key(team int) string {
	return fmt.Sprintf("measure-key-%d", team)
}

// Model returns the name of the model with the index, which is also the name of its
// route.
func Model(index int) string {
	return fmt.Sprintf("model-%d", index)
}

// Write writes declarations.ini into an existing folder. Team n uses budget n modulo
// the number of budgets.
func Write(folder string, size Size) error {
	var text strings.Builder
	fmt.Fprintf(&text, "[pool entry]\nkind = entry\nport = 7070\n\n")
	fmt.Fprintf(&text, "[pool runners]\nkind = endpoint\nport = 8000\nmax_in_flight = %d\n\n", size.MaxInFlight)
	for index := range size.Models {
		fmt.Fprintf(&text, "[model %s]\npool = runners\ninput_price = %d\noutput_price = 4\nmax_output = 4096\n\n",
			Model(index), 1+size.Revision)
		fmt.Fprintf(&text, "[route %s]\nkind = model\ntarget = %s\n\n", Model(index), Model(index))
	}
	for index := range size.Budgets {
		fmt.Fprintf(&text, "[budget budget-%d]\npurchased = %d\n\n", index, int64(Purchased))
	}
	for index := range size.Teams {
		digest := sha256.Sum256([]byte(Key(index)))
		fmt.Fprintf(&text, "[team team-%d]\nbudget = budget-%d\nkey_digests = %s\nmax_concurrent = 100000\n\n",
			index, index%size.Budgets, hex.EncodeToString(digest[:]))
	}
	path := filepath.Join(folder, "declarations.ini")
	return errors.Trace(os.WriteFile(path, []byte(text.String()), 0o600))
}
