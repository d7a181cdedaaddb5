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

// ChatStream relays a streamed chat completion frame by frame. The frame that marks the
// end of the stream is not relayed: Sink.End writes its own.
type ChatStream struct {
	// PassUsage is true if the caller requested the usage frame.
	PassUsage bool
	Log       *event.Log
	Metrics   *meter.Metrics
}

// chatStreamState is the state of one relayed stream.
type chatStreamState struct {
	ChatStream
	plan admission.Plan
	sink Sink
	// id is the completion id of the first frame.
	id string
	// contentFrames is the number of delivered frames with content. The response has at
	// least as many output tokens.
	contentFrames int64
	usage         *chat.Usage
	finishReason  string
	result        RelayResult
}

// Relay implements Relay.
func (s ChatStream) Relay(ctx context.Context, plan admission.Plan, response *endpoint.Response, sink Sink) RelayResult {
	if response.Status >= 400 {
		return Buffered{MaxBytes: chat.MaxFrameBytes}.Relay(ctx, plan, response, sink)
	}
	state := &chatStreamState{ChatStream: s, plan: plan, sink: sink}
	state.result.Response.Status = response.Status
	response.MeasureProgress()
	err := state.relayFrames(ctx, response, chat.NewReader(response.Body))
	state.applyCharge()
	state.result.Err = err
	return state.result
}

// relayFrames delivers frames until the end of a complete response. Comments and frames
// without content are no progress of the response.
func (s *chatStreamState) relayFrames(ctx context.Context, response *endpoint.Response, frames *chat.Reader) error {
	for {
		frame, err := frames.Next()
		var call *endpoint.CallError
		switch {
		case errors.As(err, &call):
			return s.interrupted(err)
		case errors.Is(err, io.ErrUnexpectedEOF):
			return ranError(outcome.Truncated, "the endpoint's stream ended before the answer")
		case err != nil:
			return s.interrupted(err)
		case frame.Done:
			return s.checkComplete()
		}
		if s.id == "" || frame.Content != "" || frame.FinishReason != "" || frame.Usage != nil {
			response.Progressed()
		}
		if err := s.relayFrame(ctx, frame); err != nil {
			return err
		}
	}
}

// interrupted returns the error for a stream that ended early. Before the first
// delivered frame it returns the error unchanged, so that another attempt can be made.
func (s *chatStreamState) interrupted(err error) error {
	if !s.result.Delivered {
		return err
	}
	return &outcome.Error{
		Code:   outcomeCode(err),
		Run:    journal.Ran,
		Object: "endpoint",
		Reason: "the endpoint's stream broke off",
		Cause:  err,
	}
}

// checkComplete returns an error if a stream ended without its finish reason or its
// usage.
func (s *chatStreamState) checkComplete() error {
	if s.finishReason == "" {
		return ranError(outcome.Truncated, "the endpoint's stream ended without a finish reason")
	}
	if s.usage == nil {
		return ranError(outcome.EndpointFailed, "the endpoint's stream carried no usage")
	}
	return nil
}

// relayFrame delivers one frame. A frame with the id of another completion is dropped.
func (s *chatStreamState) relayFrame(ctx context.Context, frame chat.Frame) error {
	if s.id == "" {
		s.id = frame.ID
	}
	if frame.ID != s.id {
		s.Metrics.FramesDropped.Add(ctx, 1)
		s.Log.Emit(event.FrameDropped, event.String("frame", frame.ID), event.String("answer", s.id))
		return nil
	}
	if frame.Usage != nil {
		s.usage = frame.Usage
	}
	if frame.FinishReason != "" {
		s.finishReason = frame.FinishReason
	}
	if frame.Choices == 0 && !s.PassUsage {
		return nil
	}
	if frame.Content != "" {
		if s.contentFrames == s.plan.MaxOutput {
			return ranError(outcome.Truncated, "the endpoint sent more than the request reserved")
		}
		s.contentFrames++
	}
	s.result.Delivered = true
	if err := s.sink.Part(frame.Raw); err != nil {
		return &CallerDisconnectedError{Cause: err}
	}
	return nil
}

// applyCharge charges the usage that the endpoint reported. Without usage, each
// delivered frame with content is charged as one output token.
func (s *chatStreamState) applyCharge() {
	if s.usage != nil {
		s.result.applyUsage(s.plan, *s.usage)
		return
	}
	s.result.applyUsage(s.plan, chat.Usage{CompletionTokens: s.contentFrames})
}
