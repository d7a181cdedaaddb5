package serve

import (
	"context"
	"io"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/chat"
	"jacinthpaddle.example/fleet/request/outcome"
)

// ChatStream relays a streamed chat completion, frame by frame. The frame that
// marks the end is left to the Sink's End. PassUsage tells whether the caller
// asked for the usage.
type ChatStream struct {
	PassUsage bool
	Log       *event.Log
	Metrics   *meter.Metrics
}

// stream is the state of one relayed stream.
type stream struct {
	ChatStream
	plan   admission.Plan
	sink   Sink
	id     string
	frames int64
	usage  *chat.Usage
	finish string
	done   RelayResult
}

// Relay implements Relay.
func (s ChatStream) Relay(ctx context.Context, plan admission.Plan, answer *endpoint.Response, sink Sink) RelayResult {
	if answer.Status >= 400 {
		return Buffered{MaxBytes: chat.MaxFrameBytes}.Relay(ctx, plan, answer, sink)
	}
	state := &stream{ChatStream: s, plan: plan, sink: sink}
	state.done.Response.Status = answer.Status
	err := state.copy(ctx, chat.NewReader(answer.Body))
	state.settle()
	state.done.Err = err
	return state.done
}

// copy passes on frames until the end of a whole answer.
func (s *stream) copy(ctx context.Context, frames *chat.Reader) error {
	for {
		frame, err := frames.Next()
		var call *endpoint.CallError
		switch {
		case errors.As(err, &call):
			return s.broken(err)
		case errors.Is(err, io.ErrUnexpectedEOF):
			return ran(outcome.Truncated, "the endpoint's stream ended before the answer")
		case err != nil:
			return s.broken(err)
		case frame.Done:
			return s.end()
		}
		if err := s.take(ctx, frame); err != nil {
			return err
		}
	}
}

// broken types an error in the midst of a stream. Before the first frame it
// stays as it is, so that another attempt can be made.
func (s *stream) broken(err error) error {
	if !s.done.Delivered {
		return err
	}
	code := outcome.EndpointFailed
	var call *endpoint.CallError
	if errors.As(err, &call) && call.Inactive {
		code = outcome.TimedOut
	}
	return &outcome.Error{
		Code:   code,
		Run:    journal.Ran,
		Object: "endpoint",
		Reason: "the endpoint's stream broke off",
		Cause:  err,
	}
}

func (s *stream) end() error {
	if s.finish == "" {
		return ran(outcome.Truncated, "the endpoint's stream ended without a finish reason")
	}
	if s.usage == nil {
		return ran(outcome.EndpointFailed, "the endpoint's stream carried no usage")
	}
	return nil
}

// take passes on one frame. A frame of another answer is dropped.
func (s *stream) take(ctx context.Context, frame chat.Frame) error {
	if s.id == "" {
		s.id = frame.ID
	}
	if frame.ID != s.id {
		s.Metrics.FramesDropped.Add(ctx, 1)
		s.Log.Emit(event.FrameDropped, event.Text("frame", frame.ID), event.Text("answer", s.id))
		return nil
	}
	if frame.Usage != nil {
		s.usage = frame.Usage
	}
	if frame.FinishReason != "" {
		s.finish = frame.FinishReason
	}
	if frame.Choices == 0 && !s.PassUsage {
		return nil
	}
	if frame.Content != "" {
		if s.frames == s.plan.MaxOutput {
			return ran(outcome.Truncated, "the endpoint sent more than the request reserved")
		}
		s.frames++
	}
	s.done.Delivered = true
	if err := s.sink.Part(frame.Raw); err != nil {
		return &CallerDisconnectedError{Cause: err}
	}
	return nil
}

// settle charges by the endpoint's usage. Without one, only the frames that
// were passed on are charged, as one token each.
func (s *stream) settle() {
	if s.usage != nil {
		s.done.use(s.plan, *s.usage)
		return
	}
	s.done.use(s.plan, chat.Usage{CompletionTokens: s.frames})
}
