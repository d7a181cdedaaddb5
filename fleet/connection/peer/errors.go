package peer

import (
	"fmt"

	"jacinthpaddle.example/fleet/process/ident"
)

// Reason tells why a link ended or was not made.
type Reason string

// Reasons for the end of a link.
const (
	// Silent links carried no frame for the silence limit.
	Silent Reason = "silent"
	// Slow links took too long to write, or their queue was full.
	Slow Reason = "slow"
	// Broken links failed to read or write.
	Broken Reason = "broken"
	// Malformed links carried a frame that can't be read.
	Malformed Reason = "malformed"
	// Replaced links gave way to another between the same two processes.
	Replaced Reason = "replaced"
	// Retired links were no longer needed by the end that dialled.
	Retired Reason = "retired"
	// Shutdown links ended with one of the processes.
	Shutdown Reason = "shutdown"
)

// Suspicious reports whether the reason casts doubt on the far end.
func (r Reason) Suspicious() bool {
	return r != Retired && r != Replaced
}

// NoRouteError says that no link leads to the process, directly or by relay.
type NoRouteError struct {
	To ident.Incarnation
}

// Error implements error.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no link to %s", e.To.Short())
}

// QueueFullError says that the queue of the link to the process is full.
type QueueFullError struct {
	To    ident.Incarnation
	Cause error
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("link to %s: %v", e.To.Short(), e.Cause)
}

// Unwrap returns the cause.
func (e *QueueFullError) Unwrap() error {
	return e.Cause
}

// FrameError says that a frame can't be read.
type FrameError struct {
	Frame string
	Cause error
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of %s: %v", e.Frame, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error {
	return e.Cause
}

// DuplicateLinkError says that another link between the two processes is preferred.
type DuplicateLinkError struct {
	Remote ident.Incarnation
}

// Error implements error.
func (e *DuplicateLinkError) Error() string {
	return fmt.Sprintf("another link to %s is kept", e.Remote.Short())
}

// TimeoutError says that a step took too long.
type TimeoutError struct {
	Step string
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: timed out", e.Step)
}

// SelfDialError says that an address led back to this process.
type SelfDialError struct {
	Address string
}

// Error implements error.
func (e *SelfDialError) Error() string {
	return fmt.Sprintf("address %s is this process", e.Address)
}
