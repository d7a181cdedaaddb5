package intake

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/request/outcome"
)

// Refusal returns the refusal of a request whose body was not read. Nothing of the request
// has run.
func Refusal(err error) *outcome.Error {
	refused := &outcome.Error{Code: outcome.BadRequest, Run: journal.NotRun, Object: "request", Field: "body"}
	var large *http.MaxBytesError
	var stalled *StalledError
	var full *buffer.FullError
	var revoked *buffer.RevokedError
	switch {
	case errors.As(err, &large):
		refused.Code = outcome.TooLarge
		refused.Reason = fmt.Sprintf("is larger than %d bytes", large.Limit)
	case errors.As(err, &stalled):
		refused.Code = outcome.Stalled
		refused.Reason = stalled.Error()
	case errors.As(err, &full), errors.As(err, &revoked):
		refused.Code = outcome.Overloaded
		refused.Object = "router"
		refused.Reason = "no memory to receive the request"
		refused.Cause = err
	default:
		refused.Reason = "could not be read: " + err.Error()
	}
	return refused
}
