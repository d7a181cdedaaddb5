// Package declaration holds the named objects that operators edit.
//
// # Usage
//
//	set, err := declaration.Load(os.DirFS("declarations"))
//	faults := declaration.Check(set, predecessor)
package declaration

import "time"

// Set is one whole configuration: every object by name, sorted by name within
// each kind. Retired keeps the purchased totals of budgets that were removed.
type Set struct {
	Teams    []Team    `json:"teams"`
	Budgets  []Budget  `json:"budgets"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Pools    []Pool    `json:"pools"`
	Paths    []Path    `json:"paths,omitempty"`
	Retired  []Budget  `json:"retired,omitempty"`
}

// Team is a group of callers that share keys and a budget. A key is kept as the
// hex form of its SHA-256 digest.
type Team struct {
	Name          string   `json:"name"`
	Budget        string   `json:"budget"`
	KeyDigests    []string `json:"key_digests"`
	MaxConcurrent int      `json:"max_concurrent"`
	Weight        int      `json:"weight"`
}

// Budget is a prepaid amount in credits. Purchased is the total of all
// purchases and only grows.
type Budget struct {
	Name      string `json:"name"`
	Purchased int64  `json:"purchased"`
}

// Model is a language model served by a pool. Prices are in credits a token.
type Model struct {
	Name          string        `json:"name"`
	Pool          string        `json:"pool"`
	InputPrice    int64         `json:"input_price"`
	OutputPrice   int64         `json:"output_price"`
	DefaultOutput int64         `json:"default_output"`
	MaxOutput     int64         `json:"max_output"`
	Timeout       time.Duration `json:"timeout"`
	StallTimeout  time.Duration `json:"stall"`
}

// Service is a plain HTTP service. Price is in credits a call. Calls of a
// service that is not idempotent are never repeated.
type Service struct {
	Name       string        `json:"name"`
	Pool       string        `json:"pool"`
	Price      int64         `json:"price"`
	Idempotent bool          `json:"idempotent"`
	Timeout    time.Duration `json:"timeout"`
}

// RouteKind tells what a route leads to.
type RouteKind string

// Kinds of routes.
const (
	ToModel   RouteKind = "model"
	ToService RouteKind = "service"
)

// Route lets teams reach a model or a service under a public name: the model
// name of a chat completion, or the first path element below /services/. No
// teams means all teams.
type Route struct {
	Name   string    `json:"name"`
	Kind   RouteKind `json:"kind"`
	Target string    `json:"target"`
	Teams  []string  `json:"teams,omitempty"`
}

// PoolKind tells what the VMs of a pool run.
type PoolKind string

// Kinds of pools.
const (
	EntryPool    PoolKind = "entry"
	EndpointPool PoolKind = "endpoint"
)

// Pool names VMs of the platform's list. Port is the TCP port that they serve
// on. MaxInFlight bounds the requests that one router has open at one VM.
// TokensPerEvent is how many output tokens one event of a stream holds at most.
type Pool struct {
	Name           string   `json:"name"`
	Kind           PoolKind `json:"kind"`
	Port           int      `json:"port"`
	MaxInFlight    int      `json:"max_in_flight"`
	TokensPerEvent int64    `json:"tokens_per_event,omitempty"`
}

// PathKind tells what may be repeated of the requests of a path.
type PathKind string

// Kinds of paths. A stream may be repeated only where it can be resumed.
const (
	SafePath   PathKind = "safe"
	UnsafePath PathKind = "unsafe"
	StreamPath PathKind = "stream"
)

// Path lets callers reach pools by host and path prefix, and passes requests and
// answers on as they are. Attempts bounds the endpoints to which one request is
// sent, MaxEventGap is the longest pause between two events of a stream, and FirstByteGoal the
// time to the first byte that callers expect. Priority zero comes first. A public
// path needs no key.
type Path struct {
	Name          string        `json:"name"`
	Host          string        `json:"host"`
	Prefix        string        `json:"prefix"`
	Kind          PathKind      `json:"kind"`
	Backends      []Backend     `json:"backends"`
	Timeout       time.Duration `json:"timeout"`
	FirstByteGoal time.Duration `json:"goal"`
	MaxEventGap   time.Duration `json:"max_gap,omitempty"`
	Attempts      int           `json:"attempts"`
	Priority      int           `json:"priority"`
	Public        bool          `json:"public,omitempty"`
	Resumable     bool          `json:"resumable,omitempty"`
}

// Backend is one pool of a path, with its share of the requests by weight.
type Backend struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Idempotent reports whether requests of the path may run more than once.
func (p Path) Idempotent() bool {
	return p.Kind == SafePath || p.Kind == StreamPath && p.Resumable
}

// Fault is one reason to refuse a set.
type Fault struct {
	Kind   string `json:"object"`
	Name   string `json:"name"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
}
