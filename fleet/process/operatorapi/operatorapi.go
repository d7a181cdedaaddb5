// Package operatorapi defines the paths and the JSON documents of the HTTP
// interface that a router serves to operators.
//
// # Usage
//
//	var status operatorapi.Status
//	err := json.NewDecoder(response.Body).Decode(&status)
package operatorapi

import (
	"time"

	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/vm"
)

// Paths on the operators' address of a router.
const (
	StatusPath = "/status"
	DumpPath   = "/dump"
	DrainPath  = "/drain"
)

// State is whether a router accepts new requests.
type State string

// States of a router. A draining one only completes the requests that it has
// accepted.
const (
	Live     State = "live"
	Draining State = "draining"
)

// Status is a summary of one router.
type Status struct {
	VM          string            `json:"vm"`
	Address     string            `json:"address"`
	Locality    vm.Locality       `json:"place"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       State             `json:"state"`
	Generation  int64             `json:"generation"`
	// Evacuated are the availability zones whose endpoints get no new requests.
	Evacuated []string      `json:"evacuated,omitempty"`
	InFlight  int64         `json:"in_flight"`
	Budgets   []BudgetLevel `json:"budgets"`
	Peers     []PeerLink    `json:"peers"`
	Started   time.Time     `json:"started"`
}

// BudgetLevel is the state of one budget at the router, in credits.
type BudgetLevel struct {
	Budget string `json:"budget"`
	// Available is what new requests can reserve.
	Available int64 `json:"available"`
	// Reserved is the total of the reservations of requests in progress.
	Reserved int64 `json:"reserved"`
	Spent    int64 `json:"spent"`
	// Granted is the total that the store has granted to the router.
	Granted int64 `json:"granted"`
}

// PeerLink is the state of the connection to one peer.
type PeerLink struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	VM          string            `json:"vm"`
	Up          bool              `json:"up"`
}
