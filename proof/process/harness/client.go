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

// Timeouts of one call, and of the wait for its response header.
const (
	requestTimeout        = 40 * time.Second
	responseHeaderTimeout = 5 * time.Second
)

// Call is one HTTP request of a caller.
type Call struct {
	Method string
	Path   string
	Key    string
	Body   string
	Header http.Header
	// Host replaces the address as the host of the request, if it is set.
	Host string
	// OnFirstFrame, if set, is called at the first frame of a streamed response.
	OnFirstFrame func()
}

// Reply is the outcome of one call.
type Reply struct {
	Status int
	// RequestID is the request id that the router assigned.
	RequestID string
	// RunStatus is the run status that the router reported, such as not_run.
	RunStatus string
	// Body is the response body, or the concatenated content of a stream.
	Body string
	// Refused is true if the peer refused the connection (ECONNREFUSED).
	Refused bool
	// Broken is true if the call failed for another reason, such as a timeout or a
	// cut connection, a stream ended without its last frame, or an error response
	// carried no error object.
	Broken bool
	// Failure is the error object of an error response, and nil otherwise.
	Failure *failure
	Err     error
}

// failure is the error object of a response that is not a result.
type failure struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param"`
	Code    string `json:"code"`
	Run     string `json:"run"`
	Object  string `json:"object"`
	Name    string `json:"name"`
}

// OK reports whether the reply is a complete result.
func (r Reply) OK() bool {
	return r.Status == http.StatusOK && r.Failure == nil && !r.Refused && !r.Broken
}

// NotRun reports whether no endpoint ran the request: the response says so, or
// the connection was refused.
func (r Reply) NotRun() bool {
	return r.Refused || r.Failure != nil && r.RunStatus == "not_run"
}

// Client sends the calls of one test.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose idle connections are closed at the end of the
// test.
func NewClient(t *testing.T) *Client {
	t.Helper()
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost:   64,
		ResponseHeaderTimeout: responseHeaderTimeout,
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &Client{http: &http.Client{Transport: transport}}
}

// Send sends the call to the address and reads the whole response.
func (c *Client) Send(ctx context.Context, address string, call Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Reply{Err: err, Broken: true}
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if call.Host != "" {
		request.Host = call.Host
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

func readReply(response *http.Response, onFirstFrame func()) Reply {
	reply := Reply{
		Status:    response.StatusCode,
		RequestID: response.Header.Get("X-Request-Id"),
		RunStatus: response.Header.Get("X-Run"),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reply.readStream(response.Body, onFirstFrame)
		return reply
	}
	body, err := io.ReadAll(response.Body)
	reply.Body = string(body)
	reply.Err = err
	reply.Broken = err != nil
	if reply.Status != http.StatusOK && err == nil {
		reply.readFailure(body)
	}
	return reply
}

// readFailure decodes the error object of a response. A response without one
// marks the reply as broken.
func (r *Reply) readFailure(body []byte) {
	var envelope struct {
		Error *failure `json:"error"`
	}
	r.Err = json.Unmarshal(body, &envelope)
	r.Failure = envelope.Error
	r.Broken = r.Failure == nil
	if r.Failure != nil {
		r.RunStatus = r.Failure.Run
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

// readStream reads server-sent events up to [DONE] or an error frame and
// concatenates their content in the body.
func (r *Reply) readStream(stream io.Reader, onFirstFrame func()) {
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
			r.Failure, r.RunStatus, r.Broken = frame.Error, frame.Error.Run, false
			return
		}
		if onFirstFrame != nil && r.Body == "" {
			onFirstFrame()
		}
		for _, choice := range frame.Choices {
			r.Body += choice.Delta.Content
		}
	}
	r.Err = lines.Err()
}

// LocateResponse is the response to a locate request.
type LocateResponse struct {
	Addresses []struct {
		Address string `json:"address"`
		VM      string `json:"vm"`
	} `json:"addresses"`
	TTLSeconds float64 `json:"ttl_seconds"`
}

// Locate requests from a router the addresses to which the caller should send its
// requests.
func (c *Client) Locate(ctx context.Context, address, key string) (LocateResponse, error) {
	got := c.Send(ctx, address, Call{Method: http.MethodGet, Path: "/locate", Key: key})
	var located LocateResponse
	if !got.OK() {
		return located, errors.Join(errors.New("locate was refused"), got.Err)
	}
	return located, json.Unmarshal([]byte(got.Body), &located)
}
