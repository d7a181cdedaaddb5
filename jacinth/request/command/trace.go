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
	collected, err := trace.Collect(lines, c.Request, c.Before)
	if err != nil {
		return err
	}
	session.print.requestTrace(collected)
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

// requestTrace prints the log lines of a trace.
func (p printer) requestTrace(collected trace.RequestTrace) {
	if p.asJSON(collected) {
		return
	}
	var rows []row
	for _, line := range collected.Lines {
		rows = append(rows, row{line.Time.Format(time.TimeOnly), line.VM, line.Event, line.Message, details(line)})
	}
	p.table(row{"time", "vm", "event", "message", "details"}, rows)
}

// details formats the fields of a line that have no column of their own as name=value: the
// request, the endpoint and the budget, then the others sorted by name.
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
