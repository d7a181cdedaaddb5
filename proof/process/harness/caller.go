package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Bounds of one call of a caller, and of its wait for the head of the answer.
const (
	callLimit = 40 * time.Second
	headLimit = 5 * time.Second
)

// Call is one request of a caller. Began, if set, is called at the first frame of
// a streamed answer.
type Call struct {
	Method       string
	Path         string
	Key          string
	Body         string
	Header       http.Header
	OnFirstFrame func()
}

// Reply is what came of one call. Refused says that no connection was made.
// Broken says that the connection failed later, or that a stream ended without
// its last frame. Failure is set by an answer that is not the result.
type Reply struct {
	Status  int
	Request string
	Run     string
	Body    string
	Refused bool
	Broken  bool
	Failure *failure
	Err     error
}

// failure is the error object of an answer that is not the result.
type failure struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param"`
	Code    string `json:"code"`
	Run     string `json:"run"`
	Object  string `json:"object"`
	Name    string `json:"name"`
}

// OK reports whether the reply is the whole result.
func (r Reply) OK() bool {
	return r.Status == http.StatusOK && r.Failure == nil && !r.Refused && !r.Broken
}

// NotRun reports whether the caller was told that nothing ran. A refused
// connection tells so too.
func (r Reply) NotRun() bool {
	return r.Refused || r.Failure != nil && r.Run == "not_run"
}

// Client makes the calls of one test.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose connections end with the test.
func NewClient(t *testing.T) *Client {
	t.Helper()
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost:   64,
		ResponseHeaderTimeout: headLimit,
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &Client{http: &http.Client{Transport: transport}}
}

// Send makes the call at the address.
func (c *Client) Send(ctx context.Context, address string, call Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Reply{Err: err, Broken: true}
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if call.Key != "" {
		request.Header.Set("Authorization", "Bearer "+call.Key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		return Reply{Err: err, Refused: refused, Broken: !refused}
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response, call.OnFirstFrame)
}

func readReply(response *http.Response, began func()) Reply {
	got := Reply{
		Status:  response.StatusCode,
		Request: response.Header.Get("X-Request-Id"),
		Run:     response.Header.Get("X-Run"),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		got.readStream(response.Body, began)
		return got
	}
	body, err := io.ReadAll(response.Body)
	got.Body = string(body)
	got.Err = err
	got.Broken = err != nil
	if got.Status != http.StatusOK && err == nil {
		got.readFailure(body)
	}
	return got
}

// readFailure decodes the error of an answer. One without an error is broken.
func (r *Reply) readFailure(body []byte) {
	var envelope struct {
		Error *failure `json:"error"`
	}
	r.Err = json.Unmarshal(body, &envelope)
	r.Failure = envelope.Error
	r.Broken = r.Failure == nil
	if r.Failure != nil {
		r.Run = r.Failure.Run
	}
}

// chunk is one frame of a streamed chat completion.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *failure `json:"error"`
}

// readStream joins the frames of a stream.
func (r *Reply) readStream(stream io.Reader, began func()) {
	r.Broken = true
	lines := bufio.NewScanner(stream)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.Broken = false
			return
		}
		var frame chunk
		if r.Err = json.Unmarshal(data, &frame); r.Err != nil {
			return
		}
		if frame.Error != nil {
			r.Failure, r.Run, r.Broken = frame.Error, frame.Error.Run, false
			return
		}
		if began != nil && r.Body == "" {
			began()
		}
		for _, choice := range frame.Choices {
			r.Body += choice.Delta.Content
		}
	}
	r.Err = lines.Err()
}

// LocateResponse is the answer to a locate request.
type LocateResponse struct {
	Addresses []struct {
		Address string `json:"address"`
		VM      string `json:"vm"`
	} `json:"addresses"`
	TTLSeconds float64 `json:"ttl_seconds"`
}

// Locate asks a router which addresses to use.
func (c *Client) Locate(ctx context.Context, address, key string) (LocateResponse, error) {
	got := c.Send(ctx, address, Call{Method: http.MethodGet, Path: "/locate", Key: key})
	var answer LocateResponse
	if !got.OK() {
		return answer, errors.Join(errors.New("locate was refused"), got.Err)
	}
	return answer, json.Unmarshal([]byte(got.Body), &answer)
}
