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

// TestMain gives the property tests a fixed seed unless one is asked for.
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
	// price is what each run costs.
	price = 5
)

// cluster is two routers, one store and what their endpoint did. It belongs to a
// synctest bubble, so that all goroutines are blocked between two steps.
type cluster struct {
	t         *testing.T
	objects   *memory.Store
	routers   [2]*router
	connected bool
	stopping  bool
	paused    []*pausedRun
	runs      map[string]int
	billed    map[string]int
	sent      []*sentAttempt
}

// router is one incarnation.
type router struct {
	id      ident.Incarnation
	flow    *idempotency.Executor
	objects *crashableStore
	crashed chan struct{}
}

// pausedRun holds one run back until it is opened: before the endpoint does the work
// if early is set, else between the work and its answer.
type pausedRun struct {
	early  bool
	result chan runResult
}

type runResult string

const (
	succeed runResult = "succeed"
	reject  runResult = "reject"
	fail    runResult = "fail"
	crash   runResult = "crash"
)

// sentAttempt is one attempt of a caller and what it got. Runs is how often the key had
// run by then.
type sentAttempt struct {
	key     string
	variant string
	router  *router
	whole   string
	err     error
	done    bool
	runs    int
	stop    context.CancelFunc
}

// crashableStore is the store as one process reaches it. A crashed one does not.
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

// prefixVerifier takes keys that start with ticket: for issued ones.
type prefixVerifier struct{}

// IssuerOf implements idempotency.Issuer.
func (prefixVerifier) IssuerOf(key claim.Key) (ident.Incarnation, bool, error) {
	rest, ok := strings.CutPrefix(key.Key, "ticket:")
	id, _, _ := strings.Cut(rest, ":")
	return ident.Incarnation(id), ok, nil
}

func newCluster(t *testing.T) *cluster {
	b := &cluster{t: t, objects: memory.New(clock.New()), connected: true, runs: make(map[string]int), billed: make(map[string]int)}
	for index := range b.routers {
		b.start(index, fmt.Sprintf("r%d", index))
	}
	return b
}

func (b *cluster) start(index int, id string) {
	objects := &crashableStore{Store: b.objects}
	fresh := &router{id: ident.Incarnation(id), objects: objects, crashed: make(chan struct{})}
	limits := idempotency.DefaultLimits()
	limits.Cache.Entries = 2
	fresh.flow = idempotency.New(idempotency.Deps{
		Self:     fresh.id,
		Clock:    clock.New(),
		Log:      event.NewLog(io.Discard, logrus.ErrorLevel),
		Claims:   claim.NewClient(clock.New(), objects),
		Tickets:  prefixVerifier{},
		Limits:   limits,
		Stopping: func() bool { return b.stopping },
	})
	b.routers[index] = fresh
}

// crash replaces the process by a new incarnation. Its callers get nothing.
func (b *cluster) crash(index int) {
	old := b.routers[index]
	old.objects.crashed = true
	close(old.crashed)
	b.start(index, string(old.id)+"x")
}

// send makes an attempt at the router.
func (b *cluster) send(at *router, key, variant string) *sentAttempt {
	sent := &sentAttempt{key: key, variant: variant, router: at}
	b.sent = append(b.sent, sent)
	ctx, cancel := context.WithTimeout(b.t.Context(), time.Hour)
	sent.stop = cancel
	sink := &collectingSink{}
	go func() {
		defer cancel()
		err := b.do(ctx, at, sent, sink, false)
		select {
		case <-at.crashed:
			err = errors.New("connection lost")
		default:
		}
		sent.whole, sent.err, sent.done, sent.runs = sink.whole(), err, true, b.runs[key]
	}()
	return sent
}

func (b *cluster) do(ctx context.Context, at *router, sent *sentAttempt, sink idempotency.Sink, forwarded bool) error {
	return at.flow.Do(ctx, idempotency.Call{
		Key:         claim.Key{Team: team, Key: sent.key},
		Fingerprint: idempotency.Fingerprint("POST", "/", []byte(sent.variant)),
		Request:     ident.NewRequest(at.id),
		Reserved:    price,
		Forwarded:   forwarded,
		Dispatch:    b.dispatch(at, sent.key),
		Forward: func(ctx context.Context, holder ident.Incarnation) error {
			for _, other := range b.routers {
				if other.id == holder && b.connected {
					return b.do(ctx, other, sent, sink, true)
				}
			}
			return errors.New("unreachable")
		},
	}, sink)
}

// dispatch is an endpoint that counts what it did.
func (b *cluster) dispatch(at *router, key string) idempotency.DispatchFunc {
	return func(ctx context.Context, record idempotency.Recorder) error {
		switch b.wait(ctx, at, true) {
		case reject:
			return &outcome.Error{Code: outcome.BudgetExhausted, Run: journal.NotRun}
		case fail:
			return errors.New("crashed before the dispatch")
		case crash:
			panic("fault")
		}
		b.runs[key]++
		b.billed[key] += price
		content := fmt.Sprintf("%s run %d", key, b.runs[key])
		record.Part([]byte(content))
		if b.wait(ctx, at, false) != succeed {
			return errors.New("answer lost")
		}
		record.End(response.Response{Status: 200})
		return nil
	}
}

func (b *cluster) wait(ctx context.Context, at *router, early bool) runResult {
	held := &pausedRun{early: early, result: make(chan runResult, 1)}
	b.paused = append(b.paused, held)
	select {
	case given := <-held.result:
		return given
	case <-at.crashed:
		return fail
	case <-ctx.Done():
		return fail
	}
}

// resume lets the oldest run that is held back go on. A run that has done its work
// is not rejected.
func (b *cluster) resume(given runResult) bool {
	if len(b.paused) == 0 {
		return false
	}
	first := b.paused[0]
	b.paused = b.paused[1:]
	if given == reject && !first.early {
		given = succeed
	}
	first.result <- given
	return true
}

// collectingSink is a caller's end of the line.
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
func (c *collectingSink) End(whole response.Response) error {
	c.ended = true
	c.parts = append(c.parts, string(whole.Body))
	return nil
}

func (c *collectingSink) whole() string {
	if !c.ended {
		return ""
	}
	return strings.Join(c.parts, "")
}
