package idempotency_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/claim"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/response"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/request/idempotency"
	"jacinthpaddle.example/fleet/request/outcome"
)

// TestMain gives the property tests a fixed seed unless a flag sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "400"}
	flag.Visit(func(given *flag.Flag) { delete(fixed, given.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	team = "clerks"
	// price is what each run costs, in credits.
	price = 5
)

// cluster is two routers, one store and one endpoint, whose runs are paused until the
// test resumes them. Its fields are used without a lock: its methods must be called from
// a synctest bubble, in which all other goroutines are blocked between two steps of a
// test.
type cluster struct {
	t       *testing.T
	objects *memory.Store
	routers [2]*router
	// connected reports whether the routers can forward requests to each other.
	connected bool
	// stopping is what Deps.Stopping of both routers returns.
	stopping bool
	// paused are the runs that wait for resume, oldest first.
	paused []*pausedRun
	// runs and billed are the number of runs and their price in credits by key.
	runs   map[string]int
	billed map[string]int
	sent   []*sentAttempt
}

// router is one incarnation of a process.
type router struct {
	id       ident.Incarnation
	executor *idempotency.Executor
	objects  *crashableStore
	crashed  chan struct{}
}

// pausedRun is a run that waits for cluster.resume.
type pausedRun struct {
	// early reports whether the run waits before the endpoint does the work. Otherwise
	// it waits between the work and the end of the response.
	early  bool
	result chan runResult
}

// runResult is how a paused run continues.
type runResult string

// Results of runs. reject refuses a run before its work, fail ends it with an unknown
// outcome, and crash makes its goroutine panic.
const (
	succeed runResult = "succeed"
	reject  runResult = "reject"
	fail    runResult = "fail"
	crash   runResult = "crash"
)

// sentAttempt is one attempt of a caller with its result.
type sentAttempt struct {
	key     string
	variant string
	router  *router
	content string
	err     error
	done    bool
	// runs is how often the key had run when the attempt ended.
	runs int
	// stop disconnects the caller.
	stop context.CancelFunc
}

// crashableStore is the store as one process uses it. After the process has crashed
// its updates fail.
type crashableStore struct {
	store.Store
	crashed bool
}

func (s *crashableStore) Update(ctx context.Context, name string, version store.Version, value []byte) (store.Version, error) {
	if s.crashed {
		return 0, &store.UnavailableError{Operation: "update", Name: name, Cause: errors.New("crashed")}
	}
	return s.Store.Update(ctx, name, version, value)
}

// prefixVerifier accepts keys of the form ticket:ISSUER:NUMBER as tickets.
type prefixVerifier struct{}

// IssuerOf implements idempotency.TicketVerifier.
func (prefixVerifier) IssuerOf(key claim.Key) (ident.Incarnation, bool, error) {
	rest, ok := strings.CutPrefix(key.Key, "ticket:")
	id, _, _ := strings.Cut(rest, ":")
	return ident.Incarnation(id), ok, nil
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, objects: memory.New(clock.New()), connected: true, runs: make(map[string]int), billed: make(map[string]int)}
	for index := range c.routers {
		c.start(index, fmt.Sprintf("r%d", index))
	}
	return c
}

// start replaces the router at the index by a new one.
func (c *cluster) start(index int, id string) {
	objects := &crashableStore{Store: c.objects}
	started := &router{id: ident.Incarnation(id), objects: objects, crashed: make(chan struct{})}
	limits := idempotency.DefaultLimits()
	limits.Cache.Entries = 2
	started.executor = idempotency.New(idempotency.Deps{
		Self:     started.id,
		Clock:    clock.New(),
		Log:      event.NewLog(io.Discard, logrus.ErrorLevel),
		Claims:   claim.NewClient(clock.New(), objects),
		Tickets:  prefixVerifier{},
		Limits:   limits,
		Stopping: func() bool { return c.stopping },
	})
	c.routers[index] = started
}

// crash replaces the process by a new incarnation. The callers of the old one lose
// their connections.
func (c *cluster) crash(index int) {
	old := c.routers[index]
	old.objects.crashed = true
	close(old.crashed)
	c.start(index, string(old.id)+"x")
}

// send starts an attempt at the router.
func (c *cluster) send(at *router, key, variant string) *sentAttempt {
	sent := &sentAttempt{key: key, variant: variant, router: at}
	c.sent = append(c.sent, sent)
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Hour)
	sent.stop = cancel
	sink := &collectingSink{}
	go func() {
		defer cancel()
		err := c.do(ctx, at, sent, sink, false)
		select {
		case <-at.crashed:
			err = errors.New("connection lost")
		default:
		}
		sent.content, sent.err, sent.done, sent.runs = sink.content(), err, true, c.runs[key]
	}()
	return sent
}

func (c *cluster) do(ctx context.Context, at *router, sent *sentAttempt, sink idempotency.Sink, forwarded bool) error {
	return at.executor.Do(ctx, idempotency.Call{
		Key:         claim.Key{Team: team, Key: sent.key},
		Fingerprint: idempotency.Fingerprint("POST", "/", []byte(sent.variant)),
		Request:     ident.NewRequest(at.id),
		Reserved:    price,
		Forwarded:   forwarded,
		Dispatch:    c.dispatch(at, sent.key),
		Forward: func(ctx context.Context, holder ident.Incarnation) error {
			for _, other := range c.routers {
				if other.id == holder && c.connected {
					return c.do(ctx, other, sent, sink, true)
				}
			}
			return errors.New("unreachable")
		},
	}, sink)
}

// dispatch returns a function that runs a request at the endpoint and counts the run and
// its price.
func (c *cluster) dispatch(at *router, key string) idempotency.DispatchFunc {
	return func(ctx context.Context, recorder idempotency.Recorder) error {
		switch c.wait(ctx, at, true) {
		case reject:
			return &outcome.Error{Code: outcome.BudgetExhausted, Run: journal.NotRun}
		case fail:
			return errors.New("crashed before the dispatch")
		case crash:
			panic("fault")
		}
		c.runs[key]++
		c.billed[key] += price
		content := fmt.Sprintf("%s run %d", key, c.runs[key])
		recorder.Part([]byte(content))
		if c.wait(ctx, at, false) != succeed {
			return errors.New("response lost")
		}
		recorder.End(response.Response{Status: 200})
		return nil
	}
}

// wait pauses a run until it is resumed, its router crashes or ctx is done.
func (c *cluster) wait(ctx context.Context, at *router, early bool) runResult {
	waiting := &pausedRun{early: early, result: make(chan runResult, 1)}
	c.paused = append(c.paused, waiting)
	select {
	case result := <-waiting.result:
		return result
	case <-at.crashed:
		return fail
	case <-ctx.Done():
		return fail
	}
}

// resume ends the wait of the oldest paused run with the given result, and returns
// false if there is none. A run whose work is done cannot be rejected any more.
func (c *cluster) resume(result runResult) bool {
	if len(c.paused) == 0 {
		return false
	}
	first := c.paused[0]
	c.paused = c.paused[1:]
	if result == reject && !first.early {
		result = succeed
	}
	first.result <- result
	return true
}

// collectingSink collects the response to one caller.
type collectingSink struct {
	parts []string
	ended bool
}

// Begin implements idempotency.Sink.
func (*collectingSink) Begin(ident.Request) {}

// Part implements idempotency.Sink.
func (c *collectingSink) Part(part []byte) error {
	c.parts = append(c.parts, string(part))
	return nil
}

// End implements idempotency.Sink.
func (c *collectingSink) End(response response.Response) error {
	c.ended = true
	c.parts = append(c.parts, string(response.Body))
	return nil
}

func (c *collectingSink) content() string {
	if !c.ended {
		return ""
	}
	return strings.Join(c.parts, "")
}
