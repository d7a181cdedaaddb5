package endpoint

import "sync"

// RequestRecord is what the endpoint did for one request id. Attempts counts arrivals and
// Runs those that began to run. Tokens are summed over runs. Completed tells
// whether a run produced its whole answer.
type RequestRecord struct {
	RequestID        string `json:"request_id"`
	Attempts         int    `json:"attempts"`
	Runs             int    `json:"runs"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	Path             string `json:"path"`
	Completed        bool   `json:"completed"`
}

// RequestLog counts runs by request id. Its methods are safe for concurrent use,
// and its zero value is empty.
type RequestLog struct {
	mu    sync.Mutex
	index map[string]int
	runs  []RequestRecord
}

// AddAttempt counts an attempt.
func (l *RequestLog) AddAttempt(requestID, path string) {
	l.change(requestID, func(run *RequestRecord) {
		run.Attempts++
		run.Path = path
	})
}

// StartRun counts a run and returns how many there were for the request id.
func (l *RequestLog) StartRun(requestID string, promptTokens int64) int {
	return l.change(requestID, func(run *RequestRecord) {
		run.Runs++
		run.PromptTokens += promptTokens
	}).Runs
}

// AddToken counts one token of an answer.
func (l *RequestLog) AddToken(requestID string) {
	l.change(requestID, func(run *RequestRecord) { run.CompletionTokens++ })
}

// MarkCompleted notes that a run produced its whole answer.
func (l *RequestLog) MarkCompleted(requestID string) {
	l.change(requestID, func(run *RequestRecord) { run.Completed = true })
}

// All returns the runs in the order of first arrival.
func (l *RequestLog) All() []RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RequestRecord{}, l.runs...)
}

// Clear forgets all runs.
func (l *RequestLog) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = nil
	l.runs = nil
}

func (l *RequestLog) change(requestID string, apply func(*RequestRecord)) RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	position, ok := l.index[requestID]
	if !ok {
		position = l.add(requestID)
	}
	apply(&l.runs[position])
	return l.runs[position]
}

func (l *RequestLog) add(requestID string) int {
	if l.index == nil {
		l.index = make(map[string]int)
	}
	position := len(l.runs)
	l.index[requestID] = position
	l.runs = append(l.runs, RequestRecord{RequestID: requestID})
	return position
}
