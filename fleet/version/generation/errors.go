package generation

import (
	"fmt"

	"jacinthpaddle.example/fleet/version/declaration"
)

// DigestError says that content does not have the digest that names it.
type DigestError struct {
	Name string
	Got  string
	Want string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("%s: digest is %s, expected %s", e.Name, e.Got, e.Want)
}

// ConflictError says that another generation was published on the same base.
// Differences names what it changed.
type ConflictError struct {
	Base        Pointer
	Current     Pointer
	Differences []declaration.Difference
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was published on top of %d in the meantime, with %d differences",
		e.Current.Number, e.Base.Number, len(e.Differences))
}
