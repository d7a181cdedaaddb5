package generation

import (
	"fmt"

	"jacinthpaddle.example/fleet/version/declaration"
)

// DigestError is returned if the SHA-256 digest of stored or received content is not the
// expected one.
type DigestError struct {
	// Name is the name of the stored object, or "generation" for the content that Decode
	// verifies.
	Name string
	Got  string
	Want string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("%s: digest is %s, expected %s", e.Name, e.Got, e.Want)
}

// ConflictError is returned if another generation was published since the base was read.
type ConflictError struct {
	Base    Pointer
	Current Pointer
	// Differences are the changes from Base to Current.
	Differences []declaration.Difference
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was published on top of %d in the meantime, with %d differences",
		e.Current.Number, e.Base.Number, len(e.Differences))
}
