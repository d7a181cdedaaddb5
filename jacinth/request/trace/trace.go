// Package trace collects the lines about one request from the logs of many processes.
//
// A log consists of JSON lines with the fields of package event. Lines of another form,
// such as those of a supervisor, are counted and skipped.
//
// # Usage
//
//	lines, skipped, err := trace.Read(file)
//	collected, err := trace.Collect(lines, "8e32084bcaf372c7", 10*time.Second)
//	for _, line := range collected.Lines { ... }
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
)

// maxLineBytes is the maximum length of a log line. Read returns an error for a longer one.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time time.Time `json:"time"`
	VM   string    `json:"vm"`
	// Event is the number of the event in package event.
	Event    int    `json:"event"`
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Budget   string `json:"budget"`
	// Fields holds the other fields of the line except its level.
	Fields map[string]any `json:"fields,omitempty"`
}

// RequestTrace holds the log lines of the selected requests, normally one, and those of other
// events that may have affected them, in the order of time.
type RequestTrace struct {
	// Request is the end of the request id by which Collect selected the lines.
	Request string
	Lines   []Line
}

// NotFoundError is returned if no line belongs to the request.
type NotFoundError struct {
	// Request is the end of the request id that was searched for.
	Request string
	// Lines is the number of lines that were searched.
	Lines int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %s: named in none of %d log lines", e.Request, e.Lines)
}

// Read returns the lines of a log and the number of lines of another form, which are
// skipped.
func Read(log io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := decode(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Annotate(scanner.Err(), "log")
}

func decode(text []byte) (Line, bool) {
	var line Line
	if json.Unmarshal(text, &line) != nil || line.Event == 0 {
		return Line{}, false
	}
	if json.Unmarshal(text, &line.Fields) != nil {
		return Line{}, false
	}
	for _, known := range []string{"time", "vm", "event", "msg", "request", "endpoint", "budget", "level"} {
		delete(line.Fields, known)
	}
	return line, true
}

// Collect returns the trace of the requests whose id ends with the given one, which may not
// be empty. A caller's id that is too long for records is found by their form of it. The trace includes related lines from the duration before the first line of the
// requests until their last line. Collect returns a *NotFoundError if no line has such an id.
func Collect(lines []Line, id string, before time.Duration) (RequestTrace, error) {
	var requestLines []Line
	recorded := ident.BoundCallerID(id)
	for _, line := range lines {
		if id != "" && (strings.HasSuffix(line.Request, id) || strings.HasSuffix(line.Request, recorded)) {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return RequestTrace{}, &NotFoundError{Request: id, Lines: len(lines)}
	}
	sortByTime(requestLines)
	selected := newScope(requestLines, before)
	result := RequestTrace{Request: id, Lines: requestLines}
	for _, line := range lines {
		if line.Request == "" && selected.includes(line) {
			result.Lines = append(result.Lines, line)
		}
	}
	sortByTime(result.Lines)
	return result, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// scope selects the lines of other events that are related to the selected requests.
type scope struct {
	from, to time.Time
	// vms and endpoints are those in the lines of the requests.
	vms       map[string]bool
	endpoints map[string]bool
	// mentioned joins the budgets and error texts in the lines of the requests. Budgets are
	// searched in it, since the line of a refusal names the budget only in the error text.
	mentioned string
}

func newScope(requestLines []Line, before time.Duration) scope {
	result := scope{
		from:      requestLines[0].Time.Add(-before),
		to:        requestLines[len(requestLines)-1].Time,
		vms:       make(map[string]bool),
		endpoints: make(map[string]bool),
	}
	for _, line := range requestLines {
		result.vms[line.VM] = true
		if line.Endpoint != "" {
			result.endpoints[line.Endpoint] = true
		}
		result.mentioned += fmt.Sprintln(line.Budget, line.Fields["error"])
	}
	return result
}

// includes reports whether a line is related to the requests: a line about one of their
// endpoints from any process, or a line of a process that handled the requests, unless that
// line is about another endpoint or budget.
func (s scope) includes(line Line) bool {
	if line.Time.Before(s.from) || line.Time.After(s.to) {
		return false
	}
	switch {
	case line.Endpoint != "":
		return s.endpoints[line.Endpoint]
	case line.Budget != "":
		return s.vms[line.VM] && strings.Contains(s.mentioned, line.Budget)
	default:
		return s.vms[line.VM]
	}
}
