package chat

import (
	"jacinthpaddle.example/standin/request/completion"
	"jacinthpaddle.example/standin/request/pipeline"
)

// Object kinds of the API.
const (
	completionObject = "chat.completion"
	chunkObject      = "chat.completion.chunk"
	assistant        = "assistant"
)

// header is what whole answers and chunks have in common.
type header struct {
	ID                string `json:"id"`
	Object            string `json:"object"`
	Created           int64  `json:"created"`
	Model             string `json:"model"`
	SystemFingerprint string `json:"system_fingerprint"`
}

type wholeAnswer struct {
	header
	Choices []wholeChoice    `json:"choices"`
	Usage   completion.Usage `json:"usage"`
}

type wholeChoice struct {
	Index        int                     `json:"index"`
	Message      text                    `json:"message"`
	FinishReason completion.FinishReason `json:"finish_reason"`
}

type chunk struct {
	header
	Choices []chunkChoice     `json:"choices"`
	Usage   *completion.Usage `json:"usage"`
}

type chunkChoice struct {
	Index        int                      `json:"index"`
	Delta        text                     `json:"delta"`
	FinishReason *completion.FinishReason `json:"finish_reason"`
}

type text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func newHeader(job *pipeline.Job, p plan, object string) header {
	return header{
		ID:                "chatcmpl-" + job.Input.RequestID,
		Object:            object,
		Created:           job.Engine.Clock.Now().Unix(),
		Model:             p.request.Model,
		SystemFingerprint: job.Engine.Config.Name,
	}
}

func newCompletion(job *pipeline.Job, p plan) wholeAnswer {
	return wholeAnswer{
		header: newHeader(job, p, completionObject),
		Choices: []wholeChoice{{
			Message:      text{Role: assistant, Content: p.answer.Text()},
			FinishReason: p.answer.Finish,
		}},
		Usage: p.answer.Usage(),
	}
}

func newChunk(job *pipeline.Job, p plan, choice chunkChoice) chunk {
	return chunk{
		header:  newHeader(job, p, chunkObject),
		Choices: []chunkChoice{choice},
	}
}

func newUsageChunk(job *pipeline.Job, p plan) chunk {
	usage := p.answer.Usage()
	return chunk{
		header:  newHeader(job, p, chunkObject),
		Choices: []chunkChoice{},
		Usage:   &usage,
	}
}

func tokenChoice(index int, token string) chunkChoice {
	choice := chunkChoice{Delta: text{Content: token}}
	if index == 0 {
		choice.Delta.Role = assistant
	}
	return choice
}

func finishChoice(reason completion.FinishReason) chunkChoice {
	return chunkChoice{FinishReason: &reason}
}
