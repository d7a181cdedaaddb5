package endpoint

import (
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
)

// Headers of the fleet's own dialect, by which a request names its attempt and an
// endpoint tells what became of it, and of itself.
const (
	RequestHeader = "X-Request-Id"
	AttemptHeader = "X-Attempt-Id"
	RunHeader     = "X-Run"
	StateHeader   = "X-Endpoint-State"
)

// AttemptInfo is what a request tells its endpoint besides what the caller sent. Left is
// the time that remains until the request's deadline.
type AttemptInfo struct {
	Request   ident.Request
	Attempt   ident.Attempt
	Endpoint  string
	Team      string
	Remaining time.Duration
}

// ResponseInfo are what the head of an answer tells. Run is the endpoint's own word, or
// empty, and Attempt the request that it answers, or empty. Leaving says that the
// endpoint leaves or has left. Load is nil if the answer tells none.
type ResponseInfo struct {
	Run     journal.Run
	Attempt ident.Attempt
	Leaving bool
	Load    *Load
}

// Load is the number of requests at an endpoint, and of those that it runs at
// the same time.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect puts marks into a request's header and reads the signs of an answer.
// It is safe for concurrent use.
type Dialect interface {
	WriteRequest(header http.Header, mark AttemptInfo)
	ReadResponse(status int, header http.Header) ResponseInfo
}

// NativeDialect is the fleet's own dialect.
type NativeDialect struct{}

// WriteRequest implements Dialect.
func (NativeDialect) WriteRequest(header http.Header, mark AttemptInfo) {
	if mark.Attempt == "" {
		return
	}
	header.Set(RequestHeader, string(mark.Request))
	header.Set(AttemptHeader, string(mark.Attempt))
}

// ReadResponse implements Dialect.
func (NativeDialect) ReadResponse(_ int, header http.Header) ResponseInfo {
	return ResponseInfo{
		Run:     parseRun(header.Get(RunHeader)),
		Attempt: ident.Attempt(header.Get(AttemptHeader)),
		Leaving: header.Get(StateHeader) == string(vm.Leaving),
	}
}

// parseRun returns the endpoint's word if it is one of ours.
func parseRun(value string) journal.Run {
	switch run := journal.Run(value); run {
	case journal.NotRun, journal.Ran, journal.Unknown:
		return run
	default:
		return ""
	}
}
