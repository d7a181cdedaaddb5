package memory

import (
	"context"

	"jacinthpaddle.example/fleet/process/store"
)

// call identifies a call in errors.
type call struct {
	operation string
	name      string
	// write reports whether the call is a write, which is ambiguous without a reply.
	write bool
}

// awaitReply holds back the reply for the delay. It returns an UnavailableError if
// the call gets no reply. The faults are those at the time when the call took effect.
func (s *Store) awaitReply(ctx context.Context, faults Faults, request call) error {
	if faults.Down {
		return request.unavailableError(false, errDown)
	}
	if err := s.awaitDelay(ctx, faults); err != nil {
		return request.unavailableError(request.write, err)
	}
	if request.write && faults.LoseReplies > 0 {
		return request.unavailableError(true, errReplyLost)
	}
	return nil
}

func (s *Store) awaitDelay(ctx context.Context, faults Faults) error {
	if faults.Delay <= 0 {
		return ctx.Err()
	}
	timer := s.clock.NewTimer(faults.Delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c call) unavailableError(ambiguous bool, cause error) error {
	return &store.UnavailableError{
		Operation: c.operation,
		Name:      c.name,
		Ambiguous: ambiguous,
		Cause:     cause,
	}
}
