// Package chat implements the OpenAI chat completions API with the output of
// package completion, as one JSON body or as a stream of server-sent events.
//
// # Usage
//
//	mux.Handle("POST /v1/chat/completions", chat.New(ep))
package chat

import (
	"encoding/json"
	"net/http"
	"strconv"

	"jacinthpaddle.example/standin/process/endpoint"
	"jacinthpaddle.example/standin/request/completion"
	"jacinthpaddle.example/standin/request/pipeline"
)

// doneEvent is the last event of a stream.
const doneEvent = "data: [DONE]\n\n"

// preparedRequest is a valid request and the output generated for it.
type preparedRequest struct {
	request completion.Request
	output  completion.Output
}

// New returns the HTTP handler for chat completions.
func New(ep *endpoint.Endpoint) http.Handler {
	prepare := func(input pipeline.Input) (preparedRequest, int64, error) {
		request, err := completion.Parse(input.Body)
		if err != nil {
			return preparedRequest{}, 0, err
		}
		if input.Faults.IgnoreMaxTokens {
			request.MaxTokens = nil
			request.MaxCompletionTokens = nil
		}
		output := request.Generate(ep.Config.DefaultOutputTokens)
		return preparedRequest{request: request, output: output}, output.PromptTokens, nil
	}
	return pipeline.Handler(ep, pipeline.Operation[preparedRequest]{Prepare: prepare, Execute: execute})
}

func execute(run *pipeline.Run, p preparedRequest) error {
	if p.request.Stream {
		return respondStream(run, p)
	}
	return respondWhole(run, p)
}

// respondWhole generates all tokens and then writes one JSON response.
func respondWhole(run *pipeline.Run, p preparedRequest) error {
	for index := range p.output.Tokens {
		if err := run.GenerateToken(index == 0); err != nil {
			return err
		}
	}
	run.MarkCompleted()
	body, err := json.Marshal(newCompletion(run, p))
	if err != nil {
		return err
	}
	run.Writer.Header().Set("Content-Type", "application/json")
	run.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = run.Writer.Write(body)
	return err
}

// respondStream writes a chunk for each token when it is generated.
func respondStream(run *pipeline.Run, p preparedRequest) error {
	run.Writer.Header().Set("Content-Type", "text/event-stream")
	run.Writer.Header().Set("Cache-Control", "no-cache")
	for index, token := range p.output.Tokens {
		if err := run.GenerateToken(index == 0); err != nil {
			return err
		}
		if err := sendEvent(run, newChunk(run, p, tokenChoice(index, token))); err != nil {
			return err
		}
	}
	run.MarkCompleted()
	if err := sendEvent(run, newChunk(run, p, finishChoice(p.output.FinishReason))); err != nil {
		return err
	}
	if p.request.IncludeUsage() {
		if err := sendEvent(run, newUsageChunk(run, p)); err != nil {
			return err
		}
	}
	return send(run, []byte(doneEvent))
}

func sendEvent(run *pipeline.Run, event chunk) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	line := append([]byte("data: "), data...)
	return send(run, append(line, '\n', '\n'))
}

func send(run *pipeline.Run, data []byte) error {
	if _, err := run.Writer.Write(data); err != nil {
		return err
	}
	// The discarding writer of package faultwriter does not support Flush.
	_ = http.NewResponseController(run.Writer).Flush()
	return nil
}
