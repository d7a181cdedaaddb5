package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/clock"
)

// LoadPath is the path at which an endpoint reports its load.
const LoadPath = "/load"

// MaxReportBytes bounds the size of a load report.
const MaxReportBytes = 4096

// Poller requests the load reports of the polled endpoints of a table.
type Poller struct {
	config Config
	clock  clock.Clock
	table  *Table
}

// NewPoller returns a poller for the table.
func NewPoller(config Config, clk clock.Clock, table *Table) *Poller {
	return &Poller{config: config, clock: clk, table: table}
}

// Run polls at each interval until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := p.clock.NewTicker(p.config.PollInterval)
	defer ticker.Stop()
	for {
		p.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Poll requests the report of each polled endpoint once, all concurrently, and waits for
// the responses.
func (p *Poller) Poll(ctx context.Context) {
	var group sync.WaitGroup
	for _, state := range p.table.View().Polled() {
		group.Go(func() {
			if err := p.pollOne(ctx, state); err != nil {
				state.MissedPolls.Add(1)
			}
		})
	}
	group.Wait()
}

// pollOne requests one report within the poll timeout and applies it to the state. An
// error means that no report was received.
func (p *Poller) pollOne(ctx context.Context, state *State) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	inactivity := newInactivityTimer(p.clock, cancel)
	inactivity.start(p.config.PollTimeout, p.config.PollTimeout)
	defer inactivity.stop()

	requestedAt := p.clock.Now()
	response, err := state.Client.Do(ctx, Call{Method: http.MethodGet, Path: LoadPath})
	if err != nil {
		return errors.Annotate(err, "load report")
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return errors.Errorf("load report of %s: status %d", state.Address, response.Status)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxReportBytes)).Decode(&report); err != nil {
		return errors.Annotatef(err, "load report of %s", state.Address)
	}
	report.RequestedAt = requestedAt
	report.ReceivedAt = p.clock.Now()
	state.ApplyReport(report)
	return nil
}
