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

// LoadPath is where an endpoint reports its load.
const LoadPath = "/load"

// MaxReportBytes bounds the size of a load report.
const MaxReportBytes = 4096

// Poller reads the load reports of the endpoints that the table says to poll.
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

// Poll asks each endpoint once, all at the same time, and waits for them.
func (p *Poller) Poll(ctx context.Context) {
	var group sync.WaitGroup
	for _, state := range p.table.View().Polled() {
		group.Go(func() {
			if err := p.ask(ctx, state); err != nil {
				state.MissedPolls.Add(1)
			}
		})
	}
	group.Wait()
}

// ask reads one report within the timeout.
func (p *Poller) ask(ctx context.Context, state *State) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(p.clock, cancel)
	watch.start(p.config.PollTimeout)
	defer watch.stop()

	asked := p.clock.Now()
	answer, err := state.Client.Do(ctx, Call{Method: http.MethodGet, Path: LoadPath})
	if err != nil {
		return errors.Annotate(err, "load report")
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return errors.Errorf("load report of %s: status %d", state.Address, answer.Status)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(answer.Body, MaxReportBytes)).Decode(&report); err != nil {
		return errors.Annotatef(err, "load report of %s", state.Address)
	}
	report.RequestedAt = asked
	report.ReceivedAt = p.clock.Now()
	state.ApplyReport(report)
	return nil
}
