package peer

import (
	"fmt"

	"jacinthpaddle.example/fleet/process/ident"
)

// Reason is the reason why a link ended.
type Reason string

// Reasons for the end of a link.
const (
	// Silent links received no frame for the silence limit.
	Silent Reason = "silent"
	// Slow links exceeded the write timeout, or their send queue was full of messages that
	// may not be dropped.
	Slow Reason = "slow"
	// Broken links had an error while reading or writing.
	Broken Reason = "broken"
	// Malformed links received a frame that can't be decoded.
	Malformed Reason = "malformed"
	// Replaced links were closed in favour of another link between the same processes.
	Replaced Reason = "replaced"
	// Retired links were no longer needed by the process that dialled them.
	Retired Reason = "retired"
	// Shutdown links were closed because one of the processes shuts down.
	Shutdown Reason = "shutdown"
)

// CausesSuspicion reports whether the remote process becomes suspected if no other link
// replaces one that ended for this reason. Links are retired and replaced while both
// processes run, so these two reasons are no sign of a failure.
func (r Reason) CausesSuspicion() bool {
	return r != Retired && r != Replaced
}

// NoRouteError reports that the process can be reached neither directly nor by relay, or
// that the hub is closed.
type NoRouteError struct {
	To ident.Incarnation
}

// Error implements error.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no link or relay route to process %s", e.To.Short())
}

// QueueFullError reports that the send queue of the link to the process is full.
type QueueFullError struct {
	To    ident.Incarnation
	Cause error
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("send queue of link to process %s: %v", e.To.Short(), e.Cause)
}

// Unwrap returns the cause.
func (e *QueueFullError) Unwrap() error {
	return e.Cause
}

// FrameError reports a received frame that can't be decoded or has unexpected content.
type FrameError struct {
	// Frame is the name of the expected frame, such as "challenge" or "message".
	Frame string
	Cause error
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("invalid %s frame: %v", e.Frame, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error {
	return e.Cause
}

// DuplicateLinkError reports that another link between the two processes is preferred.
type DuplicateLinkError struct {
	Remote ident.Incarnation
}

// Error implements error.
func (e *DuplicateLinkError) Error() string {
	return fmt.Sprintf("duplicate link to process %s: the existing link is preferred", e.Remote.Short())
}

// TimeoutError reports that a step of opening a link exceeded its timeout.
type TimeoutError struct {
	// Step is the name of the step, such as "handshake".
	Step string
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: timed out", e.Step)
}

// SelfDialError reports that a dialled address is that of this process.
type SelfDialError struct {
	Address string
}

// Error implements error.
func (e *SelfDialError) Error() string {
	return fmt.Sprintf("dialled address %s belongs to this process", e.Address)
}
