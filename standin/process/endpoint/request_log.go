package endpoint

import "sync"

// RequestRecord holds the totals of one request ID over all its attempts and runs.
type RequestRecord struct {
	RequestID string `json:"request_id"`
	// Attempts counts the arrivals of the request, refused ones included.
	Attempts int `json:"attempts"`
	// Runs counts the attempts that were admitted and started.
	Runs             int    `json:"runs"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	Path             string `json:"path"`
	// Completed reports whether a run has produced its whole response.
	Completed bool `json:"completed"`
}

// RequestLog holds one record for each request ID. The zero value is empty. Its
// methods are safe for concurrent use.
type RequestLog struct {
	mu        sync.Mutex
	positions map[string]int
	records   []RequestRecord
}

// AddAttempt counts one attempt and stores its path.
func (l *RequestLog) AddAttempt(requestID, path string) {
	l.update(requestID, func(run *RequestRecord) {
		run.Attempts++
		run.Path = path
	})
}

// StartRun counts one run and its prompt tokens. It returns the number of runs of
// the request ID, this one included.
func (l *RequestLog) StartRun(requestID string, promptTokens int64) int {
	return l.update(requestID, func(run *RequestRecord) {
		run.Runs++
		run.PromptTokens += promptTokens
	}).Runs
}

// AddToken counts one completion token.
func (l *RequestLog) AddToken(requestID string) {
	l.update(requestID, func(run *RequestRecord) { run.CompletionTokens++ })
}

// MarkCompleted records that a run has produced its whole response.
func (l *RequestLog) MarkCompleted(requestID string) {
	l.update(requestID, func(run *RequestRecord) { run.Completed = true })
}

// All returns a copy of the records in the order of first arrival.
func (l *RequestLog) All() []RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RequestRecord{}, l.records...)
}

// Clear deletes all records.
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
