package node

import (
	"cmp"
	"slices"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/operatorapi"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/request/idempotency"
)

// Dump is the state of a router for operators.
type Dump struct {
	Self        member.Member             `json:"self"`
	Started     time.Time                 `json:"started"`
	InFlight    int64                     `json:"in_flight"`
	Generation  int64                     `json:"generation"`
	Digest      string                    `json:"digest"`
	Evacuations *EvacuationsDump          `json:"evacuations,omitempty"`
	Members     []member.Member           `json:"members"`
	Linked      []ident.Incarnation       `json:"linked"`
	Budgets     []BudgetDump              `json:"budgets"`
	Journal     JournalDump               `json:"journal"`
	Recoveries  int                       `json:"recoveries"`
	Endpoints   map[string][]EndpointDump `json:"endpoints"`
	Hub         peer.Dump                 `json:"hub"`
	Idempotency idempotency.State         `json:"keyed"`
}

// EndpointDump is the state of one endpoint.
type EndpointDump = endpoint.Dump

// BudgetDump is the state of the quota of one budget. Amounts are in credits.
type BudgetDump struct {
	operatorapi.BudgetLevel
	Ceiling int64 `json:"ceiling"`
	// Remaining is the part of the budget that was not granted to any holder.
	Remaining int64   `json:"remaining"`
	Demand    float64 `json:"demand_per_second"`
	// Waiting is the number of requests that wait for credits.
	Waiting int `json:"waiting"`
	// RecordClosed reports whether the account record was closed in the store.
	RecordClosed bool `json:"shut"`
}

// EvacuationsDump is the newest reading of the evacuated zones.
type EvacuationsDump struct {
	Version store.Version `json:"version"`
	// Stored are the zones in the reading, and InForce those of them that exist.
	Stored  []string `json:"stored"`
	InForce []string `json:"in_force"`
}

// JournalDump counts the journal records that this process holds.
type JournalDump struct {
	// Pending is the number of records of this process that are not stored yet.
	Pending int `json:"pending"`
	// HeldForPeers is the number of replicated records of peers.
	HeldForPeers int `json:"held_for_peers"`
}

func (s *State) status() operatorapi.Status {
	self := s.view().Self()
	status := operatorapi.Status{
		VM:          self.VM,
		Address:     self.Address,
		Locality:    self.Locality,
		Incarnation: s.Self,
		State:       operatorapi.State(self.State),
		Generation:  s.Generation.Number,
		Evacuated:   s.evacuated,
		Started:     s.Started,
	}
	for _, budget := range s.budgets() {
		status.Budgets = append(status.Budgets, budget.BudgetLevel)
	}
	for _, peer := range s.view().Members() {
		if peer.Incarnation == s.Self || peer.State == member.Gone {
			continue
		}
		link := operatorapi.PeerLink{Incarnation: peer.Incarnation, VM: peer.VM, Up: s.Linked[peer.Incarnation]}
		status.Peers = append(status.Peers, link)
	}
	return status
}

func (s *State) budgets() []BudgetDump {
	var budgets []BudgetDump
	for name, allocation := range s.Quota.Allocations {
		level := allocation.Balance.Level()
		budgets = append(budgets, BudgetDump{
			BudgetLevel: operatorapi.BudgetLevel{
				Budget:    name,
				Available: level.Available,
				Reserved:  level.Reserved,
				Spent:     level.Spent,
				Granted:   allocation.Granted,
			},
			Ceiling:      allocation.Ceiling,
			Remaining:    allocation.Remaining,
			Demand:       allocation.Demand.Rate,
			Waiting:      len(s.waiters[name]),
			RecordClosed: allocation.RecordClosed,
		})
	}
	slices.SortFunc(budgets, func(a, b BudgetDump) int {
		return cmp.Compare(a.Budget, b.Budget)
	})
	return budgets
}

func (s *State) dump() Dump {
	dump := Dump{
		Self:       s.view().Self(),
		Started:    s.Started,
		Generation: s.Generation.Number,
		Digest:     s.Generation.Digest,
		Members:    s.view().Members(),
		Budgets:    s.budgets(),
		Journal:    JournalDump{Pending: s.JournalBuffer.Pending(), HeldForPeers: s.Replicas.Len()},
		Recoveries: len(s.recoveries),
		Endpoints:  make(map[string][]EndpointDump),
	}
	if held := s.heldEvacuations(); held != nil {
		dump.Evacuations = &EvacuationsDump{Version: held.Version, Stored: held.Zones, InForce: s.evacuated}
	}
	for linked := range s.Linked {
		dump.Linked = append(dump.Linked, linked)
	}
	slices.Sort(dump.Linked)
	for _, pool := range s.Generation.Set.Pools {
		for _, state := range s.Endpoints.View().InPool(pool.Name) {
			dump.Endpoints[pool.Name] = append(dump.Endpoints[pool.Name], state.Dump(s.Clock.Now()))
		}
	}
	return dump
}
