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

// bench is two routers, one store and what their endpoint did. It belongs to a
// synctest bubble, so that all goroutines are blocked between two steps.
type bench struct {
	t       *testing.T
	objects *memory.Store
	routers [2]*router
	links   bool
	closed  bool
	gates   []*gate
	runs    map[string]int
	billed  map[string]int
	replies []*reply
}

// router is one incarnation.
type router struct {
	id      ident.Incarnation
	flow    *idempotency.Executor
	objects *deadStore
	crashed chan struct{}
}

// gate holds one run back until it is opened: before the endpoint does the work
// if early is set, else between the work and its answer.
type gate struct {
	early  bool
	opened chan verdict
}

type verdict string

const (
	succeed verdict = "succeed"
	reject  verdict = "reject"
	fail    verdict = "fail"
	crash   verdict = "crash"
)

// reply is one attempt of a caller and what it got. Runs is how often the key had
// run by then.
type reply struct {
	key     string
	variant string
	router  *router
	whole   string
	err     error
	done    bool
	runs    int
	stop    context.CancelFunc
}

// deadStore is the store as one process reaches it. A crashed one does not.
type deadStore struct {
	store.Store
	dead bool
}

func (s *deadStore) Update(ctx context.Context, name string, version store.Version, value []byte) (store.Version, error) {
	if s.dead {
		return 0, &store.UnavailableError{Operation: "update", Name: name, Cause: errors.New("crashed")}
	}
	return s.Store.Update(ctx, name, version, value)
}

// issuer takes keys that start with ticket: for issued ones.
type issuer struct{}

// IssuerOf implements idempotency.Issuer.
func (issuer) IssuerOf(key claim.Key) (ident.Incarnation, bool, error) {
	rest, ok := strings.CutPrefix(key.Key, "ticket:")
	id, _, _ := strings.Cut(rest, ":")
	return ident.Incarnation(id), ok, nil
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, objects: memory.New(clock.New()), links: true, runs: make(map[string]int), billed: make(map[string]int)}
	for place := range b.routers {
		b.start(place, fmt.Sprintf("r%d", place))
	}
	return b
}

func (b *bench) start(place int, id string) {
	objects := &deadStore{Store: b.objects}
	fresh := &router{id: ident.Incarnation(id), objects: objects, crashed: make(chan struct{})}
	limits := idempotency.DefaultLimits()
	limits.Cache.Entries = 2
	fresh.flow = idempotency.New(idempotency.Deps{
		Self:     fresh.id,
		Clock:    clock.New(),
		Log:      event.NewLog(io.Discard, logrus.ErrorLevel),
		Claims:   claim.NewClient(clock.New(), objects),
		Tickets:  issuer{},
		Limits:   limits,
		Stopping: func() bool { return b.closed },
	})
	b.routers[place] = fresh
}

// crash replaces the process by a new incarnation. Its callers get nothing.
func (b *bench) crash(place int) {
	old := b.routers[place]
	old.objects.dead = true
	close(old.crashed)
	b.start(place, string(old.id)+"x")
}

// send makes an attempt at the router.
func (b *bench) send(at *router, key, variant string) *reply {
	sent := &reply{key: key, variant: variant, router: at}
	b.replies = append(b.replies, sent)
	ctx, cancel := context.WithTimeout(b.t.Context(), time.Hour)
	sent.stop = cancel
	sink := &collect{}
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

func (b *bench) do(ctx context.Context, at *router, sent *reply, sink idempotency.Sink, forwarded bool) error {
	return at.flow.Do(ctx, idempotency.Call{
		Key:         claim.Key{Team: team, Key: sent.key},
		Fingerprint: idempotency.Fingerprint("POST", "/", []byte(sent.variant)),
		Request:     ident.NewRequest(at.id),
		Reserved:    price,
		Forwarded:   forwarded,
		Dispatch:    b.work(at, sent.key),
		Forward: func(ctx context.Context, holder ident.Incarnation) error {
			for _, other := range b.routers {
				if other.id == holder && b.links {
					return b.do(ctx, other, sent, sink, true)
				}
			}
			return errors.New("unreachable")
		},
	}, sink)
}

// work is an endpoint that counts what it did.
func (b *bench) work(at *router, key string) idempotency.DispatchFunc {
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

func (b *bench) wait(ctx context.Context, at *router, early bool) verdict {
	held := &gate{early: early, opened: make(chan verdict, 1)}
	b.gates = append(b.gates, held)
	select {
	case given := <-held.opened:
		return given
	case <-at.crashed:
		return fail
	case <-ctx.Done():
		return fail
	}
}

// open lets the oldest run that is held back go on. A run that has done its work
// is not rejected.
func (b *bench) open(given verdict) bool {
	if len(b.gates) == 0 {
		return false
	}
	first := b.gates[0]
	b.gates = b.gates[1:]
	if given == reject && !first.early {
		given = succeed
	}
	first.opened <- given
	return true
}

// collect is a caller's end of the line.
type collect struct {
	parts []string
	ended bool
}

// Begin implements idempotency.Sink.
func (*collect) Begin(ident.Request) {}

// Part implements idempotency.Sink.
func (c *collect) Part(part []byte) error {
	c.parts = append(c.parts, string(part))
	return nil
}

// End implements idempotency.Sink.
func (c *collect) End(whole response.Response) error {
	c.ended = true
	c.parts = append(c.parts, string(whole.Body))
	return nil
}

func (c *collect) whole() string {
	if !c.ended {
		return ""
	}
	return strings.Join(c.parts, "")
}
