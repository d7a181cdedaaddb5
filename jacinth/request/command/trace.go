package command

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/jacinth/request/trace"
)

func (c *Trace) run(_ context.Context, session *session) error {
	var lines []trace.Line
	for _, name := range c.Logs {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story, err := trace.Collect(lines, c.Request, c.Before)
	if err != nil {
		return err
	}
	session.print.story(story)
	return nil
}

func readLog(name string) ([]trace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	lines, _, err := trace.Read(file)
	return lines, errors.Annotate(err, name)
}

// story prints the lines of a request's story.
func (p printer) story(story trace.RequestTrace) {
	if p.asJSON(story) {
		return
	}
	var rows []row
	for _, line := range story.Lines {
		rows = append(rows, row{line.Time.Format(time.TimeOnly), line.VM, line.Event, line.Message, details(line)})
	}
	p.table(row{"time", "vm", "event", "message", "details"}, rows)
}

// details lists the fields of a line by name.
func details(line trace.Line) string {
	var parts []string
	for _, known := range []struct{ name, value string }{
		{"request", line.Request}, {"endpoint", line.Endpoint}, {"budget", line.Budget},
	} {
		if known.value != "" {
			parts = append(parts, known.name+"="+known.value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(parts, " ")
}
