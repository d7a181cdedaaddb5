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
	mu        sync.Mutex
	positions map[string]int
	records   []RequestRecord
}

// AddAttempt counts an attempt.
func (l *RequestLog) AddAttempt(requestID, path string) {
	l.update(requestID, func(run *RequestRecord) {
		run.Attempts++
		run.Path = path
	})
}

// StartRun counts a run and returns how many there were for the request id.
func (l *RequestLog) StartRun(requestID string, promptTokens int64) int {
	return l.update(requestID, func(run *RequestRecord) {
		run.Runs++
		run.PromptTokens += promptTokens
	}).Runs
}

// AddToken counts one token of an answer.
func (l *RequestLog) AddToken(requestID string) {
	l.update(requestID, func(run *RequestRecord) { run.CompletionTokens++ })
}

// MarkCompleted notes that a run produced its whole answer.
func (l *RequestLog) MarkCompleted(requestID string) {
	l.update(requestID, func(run *RequestRecord) { run.Completed = true })
}

// All returns the runs in the order of first arrival.
func (l *RequestLog) All() []RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RequestRecord{}, l.records...)
}

// Clear forgets all runs.
func (l *RequestLog) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.positions = nil
	l.records = nil
}

func (l *RequestLog) update(requestID string, apply func(*RequestRecord)) RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	position, ok := l.positions[requestID]
	if !ok {
		position = l.append(requestID)
	}
	apply(&l.records[position])
	return l.records[position]
}

func (l *RequestLog) append(requestID string) int {
	if l.positions == nil {
		l.positions = make(map[string]int)
	}
	position := len(l.records)
	l.positions[requestID] = position
	l.records = append(l.records, RequestRecord{RequestID: requestID})
	return position
}
