// Package declaration defines the objects that operators declare in INI files, such as
// teams, budgets and pools, and loads, validates and compares sets of them.
//
// # Usage
//
//	set, err := declaration.Load(os.DirFS("declarations"))
//	faults := declaration.Check(set, predecessor)
package declaration

import "time"

// Set is a complete configuration. The objects of each kind are sorted by name.
type Set struct {
	Teams    []Team    `json:"teams"`
	Budgets  []Budget  `json:"budgets"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Pools    []Pool    `json:"pools"`
	// Paths are not declared in INI files: Load leaves them empty, and programs that read
	// another configuration format set them.
	Paths []Path `json:"paths,omitempty"`
	// RetiredBudgets holds the budgets that were removed. Their purchased totals are kept so
	// that a budget that is declared again cannot have a lower total.
	RetiredBudgets []Budget `json:"retired,omitempty"`
}

// Team is a group of callers that share API keys and a budget.
type Team struct {
	Name   string `json:"name"`
	Budget string `json:"budget"`
	// KeyDigests are the SHA-256 digests of the API keys, in lower-case hex.
	KeyDigests []string `json:"key_digests"`
	// MaxConcurrent is the maximum number of concurrent requests at one router.
	MaxConcurrent int `json:"max_concurrent"`
	// Weight is the share of the team in a weighted fair queue, relative to the weights of
	// the other teams.
	Weight int `json:"weight"`
	// Regions are the home regions of the team's requests. If it is empty, the team binds
	// them to none.
	Regions []string `json:"regions,omitempty"`
	// Priority replaces the priority of the paths that the team uses, unless it is nil.
	Priority *int `json:"priority,omitempty"`
}

// Budget is a prepaid amount of credits, the unit of all prices. Its teams pay for their
// requests from it.
type Budget struct {
	Name string `json:"name"`
	// Purchased is the total of all purchases in credits. It never decreases.
	Purchased int64 `json:"purchased"`
}

// Model is a language model that the endpoints of a pool serve.
type Model struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// InputPrice and OutputPrice are in credits per token.
	InputPrice  int64 `json:"input_price"`
	OutputPrice int64 `json:"output_price"`
	// DefaultOutput is the maximum number of output tokens of a request that sets no
	// maximum.
	DefaultOutput int64 `json:"default_output"`
	// MaxOutput is the largest number of output tokens that a request may set as its
	// maximum.
	MaxOutput int64 `json:"max_output"`
	// Timeout bounds a whole request, including its wait for a slot.
	Timeout time.Duration `json:"timeout"`
	// StallTimeout bounds the wait for the response header and for each further part of a
	// response.
	StallTimeout time.Duration `json:"stall"`
}

// Service is a plain HTTP service that the endpoints of a pool provide.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Price is in credits per call.
	Price int64 `json:"price"`
	// Idempotent allows calls to be retried after they may have run.
	Idempotent bool          `json:"idempotent"`
	Timeout    time.Duration `json:"timeout"`
}

// RouteKind is the kind of object that a route leads to.
type RouteKind string

// Route kinds.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route exposes a model or a service to teams under a public name.
type Route struct {
	// Name is the model name of a chat completion, or the first path element below
	// /services/.
	Name string    `json:"name"`
	Kind RouteKind `json:"kind"`
	// Target is the name of the model or service.
	Target string `json:"target"`
	// Teams are the names of the teams that may use the route. If it is empty, all
	// teams may.
	Teams []string `json:"teams,omitempty"`
	// Regions are the home regions of the route's requests. If it is empty, the route binds
	// them to none.
	Regions []string `json:"regions,omitempty"`
}

// PoolKind is the kind of program that the VMs of a pool run.
type PoolKind string

// Pool kinds: the VMs of an entry pool run routers, those of an endpoint pool run
// endpoints.
const (
	EntryPool    PoolKind = "entry"
	EndpointPool PoolKind = "endpoint"
)

// Pool is a named group of VMs in the platform's list.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Port is the TCP port that the VMs listen on.
	Port int `json:"port"`
	// MaxInFlight is the maximum number of requests that one router has in flight at
	// one VM.
	MaxInFlight int `json:"max_in_flight"`
	// TokensPerEvent is the largest number of output tokens in one event of a stream. Zero
	// is treated as one.
	TokensPerEvent int64 `json:"tokens_per_event,omitempty"`
	// ColdRate is the number of requests per second that all routers together send to one
	// VM while it is cold. Zero is no bound.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdTime is how long a VM is cold after its start.
	ColdTime time.Duration `json:"cold_time,omitempty"`
}

// PathKind determines whether requests of a path may be retried after they may have run.
type PathKind string

// Path kinds. Requests of a safe path may be retried, those of an unsafe path may not,
// and those of a stream path only if the stream can be resumed.
const (
	SafePath   PathKind = "safe"
	UnsafePath PathKind = "unsafe"
	StreamPath PathKind = "stream"
)

// Path exposes pools under a host and a path prefix. Requests and responses are
// forwarded unchanged.
type Path struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix   string    `json:"prefix"`
	Kind     PathKind  `json:"kind"`
	Backends []Backend `json:"backends"`
	// Timeout bounds a whole request, including its wait for a slot.
	Timeout time.Duration `json:"timeout"`
	// FirstByteGoal is the time to the first byte that callers expect.
	FirstByteGoal time.Duration `json:"goal"`
	// MaxEventGap is the longest pause between two events of a stream that callers expect.
	MaxEventGap time.Duration `json:"max_gap,omitempty"`
	// Attempts is the maximum number of endpoints to which one request is sent.
	Attempts int `json:"attempts"`
	// Priority is lower for more urgent requests; zero is the most urgent.
	Priority int `json:"priority"`
	// Public paths require no API key.
	Public bool `json:"public,omitempty"`
	// Resumable streams can be continued at another endpoint.
	Resumable bool `json:"resumable,omitempty"`
	// Regions are the home regions of the path's requests. If it is empty, the path binds
	// them to none.
	Regions []string `json:"regions,omitempty"`
}

// Backend is a pool of a path. It gets a share of the requests in proportion to Weight.
type Backend struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Idempotent reports whether requests of the path may run more than once.
func (p Path) Idempotent() bool {
	return p.Kind == SafePath || p.Kind == StreamPath && p.Resumable
}

// Fault is a validation error of a set.
type Fault struct {
	// Kind is the kind of the object, such as "team", or "file" for a fault of a file.
	Kind string `json:"object"`
	// Name is the name of the object or file.
	Name string `json:"name"`
	// Field is the key in the INI file. It is empty if the fault concerns the whole
	// object.
	Field  string `json:"field"`
	Reason string `json:"reason"`
}
