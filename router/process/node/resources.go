package node

import (
	"context"
	"runtime/debug"

	"jacinthpaddle.example/fleet/process/buffer"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/request/intake"
	"jacinthpaddle.example/router/connection/listener"
)

// Parts of the memory of a VM.
const (
	// bufferFraction is the fraction for requests and responses.
	bufferFraction = 4
	// receivedFraction is the fraction of that for requests.
	receivedFraction = 3
	// connectionFraction is the fraction for connections.
	connectionFraction = 4
	// journalFraction is the fraction for journal records that are not stored yet, and again
	// for copies of those of peers.
	journalFraction = 8
	// connectionBytes is what net/http occupies for a connection.
	connectionBytes = 24 << 10
	// runtimePercent is the percentage up to which the runtime collects garbage at its
	// usual pace. The rest is for the program itself and for the kernel.
	runtimePercent = 50
)

// Parts of the file descriptors of a VM.
const (
	// fileDescriptors are those that are not available for sockets.
	fileDescriptors = 200
	// callerFraction is the fraction of the sockets for callers. A request in service
	// needs a connection to an endpoint as well, and the rest is for peers, the store and
	// operators.
	callerFraction = 2
	// internalFraction is the fraction of the sockets for each internal listener.
	internalFraction = 8
)

// Numbers of connections if the VM is not known.
const (
	defaultCallerConnections   = 4096
	defaultInternalConnections = 1024
)

// Resources are the parts of a VM that callers and peers may occupy.
type Resources struct {
	// BufferedBytes is the memory of requests and responses, ReceivedBytes the part of it
	// for requests.
	BufferedBytes int64
	ReceivedBytes int64
	// CallerConnections and InternalConnections are the maximum numbers of connections at
	// all callers' addresses, and at each internal one.
	CallerConnections   int
	InternalConnections int
	// JournalBytes is the memory of journal records that are not stored yet, and of copies of
	// those of peers each.
	JournalBytes int
	// RuntimeBytes is the soft limit of the Go runtime, or zero.
	RuntimeBytes int64
}

// Resources returns the parts of the VM, which follow from its size unless a limit is set.
func (s Settings) Resources() Resources {
	memory := int64(s.VM.MemoryMB * (1 << 20))
	parts := Resources{
		BufferedBytes:       s.Limits.MaxBufferedBytes,
		ReceivedBytes:       s.Limits.MaxReceivedBytes,
		JournalBytes:        journal.DefaultConfig().MaxPendingBytes,
		CallerConnections:   defaultCallerConnections,
		InternalConnections: defaultInternalConnections,
		RuntimeBytes:        memory * runtimePercent / 100,
	}
	if memory > 0 {
		parts.BufferedBytes = min(parts.BufferedBytes, memory/bufferFraction)
		parts.JournalBytes = min(parts.JournalBytes, int(memory/journalFraction))
		parts.CallerConnections = min(parts.CallerConnections, int(memory/connectionFraction/connectionBytes))
	}
	if parts.ReceivedBytes == 0 {
		parts.ReceivedBytes = parts.BufferedBytes / receivedFraction
	}
	parts.ReceivedBytes = min(parts.ReceivedBytes, parts.BufferedBytes)
	if s.VM.Descriptors > 0 {
		sockets := int(s.VM.Descriptors) - fileDescriptors
		parts.CallerConnections = min(parts.CallerConnections, sockets/callerFraction)
		parts.InternalConnections = min(parts.InternalConnections, sockets/internalFraction)
	}
	if s.Limits.MaxConnections > 0 {
		parts.CallerConnections = s.Limits.MaxConnections
	}
	return parts
}

// intakeComponents bound what callers and peers send.
type intakeComponents struct {
	resources Resources
	buffers   *buffer.Pool
	received  *buffer.Receiver
	bodies    *intake.Reader
	callers   *listener.Gate
	// refusals samples the log lines about refused connections.
	refusals *event.Sampler
}

// forwardedHeaderBytes is more than what a router adds to the header of a request that it
// forwards.
const forwardedHeaderBytes = 4 << 10

// refusalsLoggedPerSecond bounds the log lines about refused connections.
const refusalsLoggedPerSecond = 5

// setUpIntake creates the components that bound what callers and peers send.
func (n *Node) setUpIntake() {
	resources := n.Settings.Resources()
	if resources.RuntimeBytes > 0 {
		debug.SetMemoryLimit(resources.RuntimeBytes)
	}
	buffers := &buffer.Pool{Capacity: resources.BufferedBytes}
	n.intake = intakeComponents{
		resources: resources,
		buffers:   buffers,
		received:  &buffer.Receiver{Pool: buffers, Capacity: resources.ReceivedBytes, Clock: n.Clock},
		bodies: &intake.Reader{
			Clock:        n.Clock,
			MaxBytes:     n.Settings.Limits.MaxBodyBytes,
			StallTimeout: n.Settings.Limits.BodyStallTimeout,
			Timeout:      n.Settings.Limits.ReadBodyTimeout,
		},
		callers:  &listener.Gate{Max: resources.CallerConnections},
		refusals: event.NewSampler(refusalsLoggedPerSecond),
	}
}

// callerLimits returns the limits of the listeners for callers, which share a bound on
// connections.
func (n *Node) callerLimits() listener.Limits {
	limits := n.internalLimits()
	limits.MaxHeaderBytes = n.Settings.Limits.MaxHeaderBytes
	limits.ReadTimeout = n.Settings.Limits.ReadBodyTimeout
	limits.IdleTimeout = IdleTimeout
	limits.Connections = n.intake.callers
	return limits
}

// internalLimits returns the limits of a listener for peers or operators.
func (n *Node) internalLimits() listener.Limits {
	return listener.Limits{
		MaxHeaderBytes:    n.Settings.Limits.MaxHeaderBytes + forwardedHeaderBytes,
		ReadHeaderTimeout: n.Settings.Limits.ReadHeaderTimeout,
		MaxHeaderLines:    n.Settings.Limits.MaxHeaderLines,
		Memory:            n.intake.received,
		Connections:       &listener.Gate{Max: n.intake.resources.InternalConnections},
		Refused:           n.connectionRefused,
	}
}

// connectionRefused counts a connection that was refused or replaced, and logs some.
func (n *Node) connectionRefused(reason listener.Reason) {
	n.metrics.ConnectionsRefused.Add(context.Background(), 1, meter.Reason(string(reason)))
	if n.intake.refusals.Allow(n.Clock.Now()) {
		n.Log.Emit(event.ConnectionRefused, event.String("reason", reason))
	}
}
