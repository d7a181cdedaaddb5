// Package trace follows one request through the logs of many processes.
//
// A log is JSON lines with the fields of the event catalogue. Lines of another form,
// such as those of a supervisor, are counted and passed over.
//
// # Usage
//
//	lines, skipped, err := trace.Read(file)
//	story, err := trace.Follow(lines, "8e32084bcaf372c7", 10*time.Second)
//	for _, line := range story.Lines { ... }
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
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Line is one log line. Fields holds what has no field of its own.
type Line struct {
	Time     time.Time      `json:"time"`
	VM       string         `json:"vm"`
	Event    int            `json:"event"`
	Message  string         `json:"msg"`
	Request  string         `json:"request"`
	Endpoint string         `json:"endpoint"`
	Budget   string         `json:"budget"`
	Fields   map[string]any `json:"fields,omitempty"`
}

// RequestTrace is what the logs tell of one request: its own lines, and those around it that
// tell what the processes that had it believed of its budget and its endpoints.
type RequestTrace struct {
	Request string
	Lines   []Line
}

// NotFoundError says that no line names the request.
type NotFoundError struct {
	Request string
	Lines   int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %s: named in none of %d log lines", e.Request, e.Lines)
}

// Read returns the log lines and how many lines of another form were passed over.
func Read(log io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
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

// Collect returns the story of the request whose name ends with the id, with what
// happened up to so long before its first line.
func Collect(lines []Line, id string, before time.Duration) (RequestTrace, error) {
	var own []Line
	for _, line := range lines {
		if id != "" && strings.HasSuffix(line.Request, id) {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return RequestTrace{}, &NotFoundError{Request: id, Lines: len(lines)}
	}
	sortByTime(own)
	scene := newScene(own, before)
	story := RequestTrace{Request: id, Lines: own}
	for _, line := range lines {
		if line.Request == "" && scene.holds(line) {
			story.Lines = append(story.Lines, line)
		}
	}
	sortByTime(story.Lines)
	return story, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// scene is when and where a request was, and what it was about.
type scene struct {
	from, to  time.Time
	vms       map[string]bool
	endpoints map[string]bool
	said      string
}

func newScene(own []Line, before time.Duration) scene {
	found := scene{
		from:      own[0].Time.Add(-before),
		to:        own[len(own)-1].Time,
		vms:       make(map[string]bool),
		endpoints: make(map[string]bool),
	}
	for _, line := range own {
		found.vms[line.VM] = true
		if line.Endpoint != "" {
			found.endpoints[line.Endpoint] = true
		}
		found.said += fmt.Sprintln(line.Budget, line.Fields["error"])
	}
	return found
}

// holds reports whether a line tells of the scene: the endpoints of the request at any
// process, and at its own ones whatever is not about another budget or endpoint.
func (s scene) holds(line Line) bool {
	if line.Time.Before(s.from) || line.Time.After(s.to) {
		return false
	}
	switch {
	case line.Endpoint != "":
		return s.endpoints[line.Endpoint]
	case line.Budget != "":
		return s.vms[line.VM] && strings.Contains(s.said, line.Budget)
	default:
		return s.vms[line.VM]
	}
}
