package chat

import (
	"jacinthpaddle.example/standin/request/completion"
	"jacinthpaddle.example/standin/request/pipeline"
)

// Values of the object and role fields of the API.
const (
	completionObject = "chat.completion"
	chunkObject      = "chat.completion.chunk"
	assistantRole    = "assistant"
)

// commonFields holds the fields that a completion and a chunk of a streamed completion
// share.
type commonFields struct {
	ID                string `json:"id"`
	Object            string `json:"object"`
	Created           int64  `json:"created"`
	Model             string `json:"model"`
	SystemFingerprint string `json:"system_fingerprint"`
}

type completionBody struct {
	commonFields
	Choices []completionChoice `json:"choices"`
	Usage   completion.Usage   `json:"usage"`
}

type completionChoice struct {
	Index        int                     `json:"index"`
	Message      message                 `json:"message"`
	FinishReason completion.FinishReason `json:"finish_reason"`
}

type chunk struct {
	commonFields
	Choices []chunkChoice     `json:"choices"`
	Usage   *completion.Usage `json:"usage"`
}

type chunkChoice struct {
	Index        int                      `json:"index"`
	Delta        message                  `json:"delta"`
	FinishReason *completion.FinishReason `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func newCommonFields(run *pipeline.Run, p preparedRequest, object string) commonFields {
	return commonFields{
		ID:                "chatcmpl-" + run.Input.RequestID,
		Object:            object,
		Created:           run.Endpoint.Clock.Now().Unix(),
		Model:             p.request.Model,
		SystemFingerprint: run.Endpoint.Config.Name,
	}
}

func newCompletion(run *pipeline.Run, p preparedRequest) completionBody {
	return completionBody{
		commonFields: newCommonFields(run, p, completionObject),
		Choices: []completionChoice{{
			Message:      message{Role: assistantRole, Content: p.output.Text()},
			FinishReason: p.output.FinishReason,
		}},
		Usage: p.output.Usage(),
	}
}

func newChunk(run *pipeline.Run, p preparedRequest, choice chunkChoice) chunk {
	return chunk{
		commonFields: newCommonFields(run, p, chunkObject),
		Choices:      []chunkChoice{choice},
	}
}

func newUsageChunk(run *pipeline.Run, p preparedRequest) chunk {
	usage := p.output.Usage()
	return chunk{
		commonFields: newCommonFields(run, p, chunkObject),
		Choices:      []chunkChoice{},
		Usage:        &usage,
	}
}

func tokenChoice(index int, token string) chunkChoice {
	choice := chunkChoice{Delta: message{Content: token}}
	if index == 0 {
		choice.Delta.Role = assistantRole
	}
	return choice
}

func finishChoice(reason completion.FinishReason) chunkChoice {
	return chunkChoice{FinishReason: &reason}
}
