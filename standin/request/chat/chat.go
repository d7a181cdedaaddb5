// Package chat implements the OpenAI chat completions API with the output of
// package completion, as one JSON body or as a stream of server-sent events.
//
// # Usage
//
//	mux.Handle("POST /v1/chat/completions", chat.New(engine))
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
func New(engine *endpoint.Endpoint) http.Handler {
	prepare := func(input pipeline.Input) (preparedRequest, int64, error) {
		request, err := completion.Parse(input.Body)
		if err != nil {
			return preparedRequest{}, 0, err
		}
		if input.Faults.IgnoreMaxTokens {
			request.MaxTokens = nil
			request.MaxCompletionTokens = nil
		}
		answer := request.Generate(engine.Config.DefaultOutputTokens)
		return preparedRequest{request: request, output: answer}, answer.PromptTokens, nil
	}
	return pipeline.Handler(engine, pipeline.Operation[preparedRequest]{Prepare: prepare, Execute: execute})
}

func execute(job *pipeline.Run, p preparedRequest) error {
	if p.request.Stream {
		return respondStream(job, p)
	}
	return respondWhole(job, p)
}

// respondWhole generates all tokens and then writes one JSON response.
func respondWhole(job *pipeline.Run, p preparedRequest) error {
	for index := range p.output.Tokens {
		if err := job.GenerateToken(index == 0); err != nil {
			return err
		}
	}
	job.MarkCompleted()
	body, err := json.Marshal(newCompletion(job, p))
	if err != nil {
		return err
	}
	job.Writer.Header().Set("Content-Type", "application/json")
	job.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = job.Writer.Write(body)
	return err
}

// respondStream writes a chunk for each token when it is generated.
func respondStream(job *pipeline.Run, p preparedRequest) error {
	job.Writer.Header().Set("Content-Type", "text/event-stream")
	job.Writer.Header().Set("Cache-Control", "no-cache")
	for index, token := range p.output.Tokens {
		if err := job.GenerateToken(index == 0); err != nil {
			return err
		}
		if err := sendEvent(job, newChunk(job, p, tokenChoice(index, token))); err != nil {
			return err
		}
	}
	job.MarkCompleted()
	if err := sendEvent(job, newChunk(job, p, finishChoice(p.output.FinishReason))); err != nil {
		return err
	}
	if p.request.IncludeUsage() {
		if err := sendEvent(job, newUsageChunk(job, p)); err != nil {
			return err
		}
	}
	return send(job, []byte(doneEvent))
}

func sendEvent(job *pipeline.Run, event chunk) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	line := append([]byte("data: "), data...)
	return send(job, append(line, '\n', '\n'))
}

func send(job *pipeline.Run, data []byte) error {
	if _, err := job.Writer.Write(data); err != nil {
		return err
	}
	// The discarding writer of package faultwriter does not support Flush.
	_ = http.NewResponseController(job.Writer).Flush()
	return nil
}
