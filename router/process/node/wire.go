package node

import (
	"encoding/json"
	"net/http"

	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/random"
	"jacinthpaddle.example/fleet/process/secret"
	"jacinthpaddle.example/fleet/request/balancer"
	"jacinthpaddle.example/fleet/request/retry"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/router/request/frontend"
)

// setUpRequests creates and connects the components that serve requests.
func (n *Node) setUpRequests() {
	n.runner = &serve.Runner{
		Clock:         n.Clock,
		Random:        random.New(),
		Log:           n.Log,
		ServedSampler: event.NewSampler(n.Settings.Log.ServedPerSecond),
		Metrics:       n.metrics,
		Credits:       NewCreditReserver(n.thread, n.state.Quota.Balances),
		Recorder:      NewRecorder(n.thread, n.Settings.Journal.Wait, n.state.JournalFull),
		Endpoints:     n.state.Endpoints,
		Slots:         serve.NewSlots(n.Clock, n.state.Endpoints, n.Settings.Limits.MaxQueueWait),
		Picker:        balancer.New(balancer.Defaults(n.Settings.Locality()), random.New()),
		Prompts:       NewPromptMonitor(n.thread, n.state.PromptView),
		Buffers:       n.intake.buffers,
		RetryPolicy:   retry.Defaults(),
		RetryBudgets:  n.state.Retries,
		Limits: serve.Limits{
			Reserve: n.Settings.Quota.SearchTimeout,
			Open:    n.Settings.Journal.OpenTimeout,
			Final:   n.Settings.Journal.FinalTimeout,
		},
	}
	n.locator = &locator{
		members:        n.state.Members,
		activeSnapshot: n.state.ActiveSnapshot,
		clock:          n.Clock,
		locality:       n.Settings.Locality(),
		settings:       n.Settings.Locate,
		secret:         secret.Key(n.Settings.Fleet.Secret),
	}
	n.setUpIdempotency()
	n.frontend = frontend.New(frontend.Deps{
		Self:           n.Self,
		ActiveSnapshot: n.state.ActiveSnapshot,
		Runner:         n.runner,
		Executor:       n.idempotency.executor,
		Forwarder:      n.idempotency.forwarder,
		Locator:        n.locator,
		Log:            n.Log,
		Metrics:        n.metrics,
		Limits: frontend.Limits{
			MaxResponseBytes: n.Settings.Limits.MaxResponseBytes,
			MaxConcurrent:    int64(n.Settings.Limits.MaxConcurrent),
		},
		Bodies:   n.intake.bodies,
		Stopping: n.stopping.Load,
	})
}

// peerMux returns the handler of the peer port.
func (n *Node) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.hub)
	mux.Handle(forward.Path, n.forwardedHandler())
	return mux
}

// operatorsMux returns the handler of the operators' port.
func (n *Node) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operatorapi.StatusPath, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, n.Status())
	})
	mux.HandleFunc("GET "+operatorapi.DumpPath, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, n.Dump())
	})
	mux.HandleFunc("POST "+operatorapi.DrainPath, func(writer http.ResponseWriter, _ *http.Request) {
		n.Drain()
		writer.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// Drain starts the drain of the process and returns at once. Later calls have no effect.
func (n *Node) Drain() {
	select {
	case n.drainRequested <- struct{}{}:
	default:
	}
}

// Status returns a summary of the state for operators.
func (n *Node) Status() operatorapi.Status {
	status := control.Query(n.thread, (*State).status)
	status.InFlight = n.inProgress()
	return status
}

// Dump returns the complete state for operators.
func (n *Node) Dump() Dump {
	dump := control.Query(n.thread, (*State).dump)
	dump.InFlight = n.inProgress()
	dump.Hub = n.hub.Dump()
	dump.Idempotency = n.idempotency.executor.State()
	return dump
}

// WriteDump writes the result of Dump to the log.
func (n *Node) WriteDump() {
	encoded, err := json.Marshal(n.Dump())
	if err != nil {
		return
	}
	n.Log.Emit(event.DumpWritten, event.String("dump", string(encoded)))
}
