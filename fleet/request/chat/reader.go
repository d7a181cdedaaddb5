package chat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// MaxFrameBytes bounds one frame of an endpoint's stream.
const MaxFrameBytes = 1 << 20

// Usage is the number of tokens that an endpoint counted for a request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Frame is one server-sent event of the stream of a chat completion.
type Frame struct {
	// Raw is the JSON of the event. It is valid until the next call of Reader.Next.
	Raw          []byte
	ID           string
	Created      int64
	Content      string
	FinishReason string
	// Choices is the number of choices. The frame with the usage has none.
	Choices int
	Usage   *Usage
	// Done is true for the frame that marks the end of a complete response. All other
	// fields are then empty.
	Done bool
}

// FrameError means that a frame is not valid JSON or reports an error of the endpoint.
type FrameError struct {
	Reason string
}

// Error implements error.
func (e *FrameError) Error() string {
	return "stream: " + e.Reason
}

// Reader reads the frames of one stream. It is not safe for concurrent use.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a reader of the stream, which is the body of a response.
func NewReader(stream io.Reader) *Reader {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, 4096), MaxFrameBytes)
	lines.Split(scanCompleteLines)
	return &Reader{lines: lines}
}

// scanCompleteLines is a bufio.SplitFunc like bufio.ScanLines, but drops a last line
// that has no line end, because the stream ended within it.
func scanCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// Next returns the next frame. At the end of the stream it returns io.ErrUnexpectedEOF,
// which before the frame with Done means that the response is incomplete.
func (r *Reader) Next() (Frame, error) {
	for r.lines.Scan() {
		data, ok := bytes.CutPrefix(r.lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		return parseFrame(bytes.TrimSpace(data))
	}
	if err := r.lines.Err(); err != nil {
		return Frame{}, err
	}
	return Frame{}, io.ErrUnexpectedEOF
}

type frameFields struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Choices []frameChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
	Error   *errorFields  `json:"error"`
}

type frameChoice struct {
	Delta        frameDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type frameDelta struct {
	Content string `json:"content"`
}

type errorFields struct {
	Message string `json:"message"`
}

func parseFrame(data []byte) (Frame, error) {
	if bytes.Equal(data, doneData) {
		return Frame{Done: true}, nil
	}
	var fields frameFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return Frame{}, &FrameError{Reason: err.Error()}
	}
	if fields.Error != nil {
		return Frame{}, &FrameError{Reason: fmt.Sprintf("endpoint: %s", fields.Error.Message)}
	}
	frame := Frame{
		Raw:     data,
		ID:      fields.ID,
		Created: fields.Created,
		Choices: len(fields.Choices),
		Usage:   fields.Usage,
	}
	if len(fields.Choices) > 0 {
		frame.Content = fields.Choices[0].Delta.Content
		frame.FinishReason = fields.Choices[0].FinishReason
	}
	return frame, nil
}
