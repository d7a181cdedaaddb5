package endpoint

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
)

// Headers of NativeDialect. A request carries its id and that of its attempt. A response
// reports the attempt, whether the request ran, and the state of the endpoint.
const (
	RequestHeader = "X-Request-Id"
	AttemptHeader = "X-Attempt-Id"
	RunHeader     = "X-Run"
	StateHeader   = "X-Endpoint-State"
)

// AttemptInfo is what a dialect adds to the caller's request for one attempt.
type AttemptInfo struct {
	Request  ident.Request
	Attempt  ident.Attempt
	Endpoint string
	Team     string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Priority is the rank of the request at the endpoint, where zero is the most urgent. It
	// is nil if the request has none.
	Priority *int
}

// ResponseInfo is what a dialect reads from the head of a response.
type ResponseInfo struct {
	// Run is whether the endpoint ran the request according to its own report, or empty.
	Run journal.RunStatus
	// Attempt is the attempt to which the endpoint responds, or empty.
	Attempt ident.Attempt
	// Leaving is true if the endpoint is leaving its pool or has left it.
	Leaving bool
	// Retiring is true if the endpoint itself announces that it leaves for good. Unlike
	// Leaving, it holds until the endpoint is started anew.
	Retiring bool
	// RetryAfter is how long the endpoint, which refused the request, wants no further ones
	// from this process. Zero is no restriction.
	RetryAfter time.Duration
	// ColdLeft is how much longer the endpoint stays cold, or zero.
	ColdLeft time.Duration
	// Load is nil if the response reports no load.
	Load *Load
}

// Load is the load that an endpoint reports with a response.
type Load struct {
	// Running is the number of requests that the endpoint executes.
	Running int
	// Waiting is the number of requests that the endpoint queues.
	Waiting int
	// Slots is the number of requests that the endpoint can execute at the same time.
	Slots int
	// WorkFactor is how long work takes at the endpoint now, relative to usual. Zero is not
	// reported.
	WorkFactor float64
}

// Dialect encodes the headers that are exchanged with endpoints. It is safe for
// concurrent use.
type Dialect interface {
	// WriteRequest adds the information about an attempt to the header of a request.
	WriteRequest(header http.Header, attempt AttemptInfo)
	// ReadResponse returns the information in the head of a response.
	ReadResponse(status int, header http.Header) ResponseInfo
}

// NativeDialect is the dialect of the fleet's own endpoints.
type NativeDialect struct{}

// WriteRequest implements Dialect.
func (NativeDialect) WriteRequest(header http.Header, attempt AttemptInfo) {
	if attempt.Attempt == "" {
		return
	}
	header.Set(RequestHeader, string(attempt.Request))
	header.Set(AttemptHeader, string(attempt.Attempt))
}

// ReadResponse implements Dialect.
func (NativeDialect) ReadResponse(status int, header http.Header) ResponseInfo {
	return ResponseInfo{
		Run:        parseRun(header.Get(RunHeader)),
		Attempt:    ident.Attempt(header.Get(AttemptHeader)),
		Leaving:    header.Get(StateHeader) == string(vm.Leaving),
		RetryAfter: ParseRetryAfter(status, header),
	}
}

// MaxRetryAfter bounds the time for which an endpoint can refuse requests in advance.
const MaxRetryAfter = time.Hour

// ParseRetryAfter returns the value of the header Retry-After in seconds, which may have a
// fraction, of a response with status 503. It returns zero for any other response and for
// a value that is missing, not positive, or a date.
func ParseRetryAfter(status int, header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if status != http.StatusServiceUnavailable || err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// parseRun returns the value of a run header, or the empty string if it is not known.
func parseRun(value string) journal.RunStatus {
	switch run := journal.RunStatus(value); run {
	case journal.NotRun, journal.Ran, journal.Unknown:
		return run
	default:
		return ""
	}
}
