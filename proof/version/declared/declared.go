// Package declared writes generated folders of declarations.
//
// # Usage
//
//	err := declared.Write(folder, declared.Size{Teams: 10, Budgets: 10, Models: 1})
//	key := declared.Key(0) // of the first team
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

// Purchased is what each budget has bought, in credits.
const Purchased = 1_000_000_000_000

// Size is how many objects a folder declares. Revision changes a price, so that
// two revisions are different generations.
type Size struct {
	Teams       int
	Budgets     int
	Models      int
	MaxInFlight int
	Revision    int
}

// Key returns the key of a team.
func Key(team int) string {
	return fmt.Sprintf("measure-key-%d", team)
}

// Model returns the name of a model.
func Model(index int) string {
	return fmt.Sprintf("model-%d", index)
}

// Write fills the folder. Team number n draws on budget number n.
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
