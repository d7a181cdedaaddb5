// Package journal records what each request is charged.
//
// An entry is written open before the request is dispatched and final once its
// charge is known. Entries are keyed by request, and a final entry replaces an
// open one, so that any number of copies of an entry result in one bill.
//
// A Buffer decides when the records of this process are copied to peers and
// written to the store. Replicas holds the copies that peers sent, and stores them
// if a peer fails.
//
// # Usage
//
//	totals := journal.Totals(entries)
package journal

import "jacinthpaddle.example/fleet/process/ident"

// State is whether the charge of an entry is final.
type State string

// States of an entry.
const (
	Open  State = "open"
	Final State = "final"
)

// RunStatus is whether an endpoint did the work of a request.
type RunStatus string

// Values of RunStatus.
const (
	// NotRun means that no endpoint has done or will do any of the work.
	NotRun RunStatus = "not_run"
	// Ran means that an endpoint has done the work, perhaps only a part of it.
	Ran RunStatus = "ran"
	// Unknown means that it cannot be determined whether an endpoint has done any
	// work.
	Unknown RunStatus = "unknown"
)

// Entry records what one request costs. Reserved, Floor and Charge are in credits.
type Entry struct {
	Request      ident.Request `json:"request" cbor:"request"`
	State        State         `json:"state" cbor:"state"`
	Team         string        `json:"team" cbor:"team"`
	Budget       string        `json:"budget" cbor:"budget"`
	Target       string        `json:"target" cbor:"target"`
	Run          RunStatus     `json:"run" cbor:"run"`
	Reserved     int64         `json:"reserved" cbor:"reserved"`
	Floor        int64         `json:"floor" cbor:"floor"`
	Charge       int64         `json:"charge" cbor:"charge"`
	InputTokens  int64         `json:"input_tokens" cbor:"input_tokens"`
	OutputTokens int64         `json:"output_tokens" cbor:"output_tokens"`
}

// Bill returns the credits that the entry costs. An open entry costs its floor: the
// part of the charge that is certain once the request was dispatched.
func (e Entry) Bill() int64 {
	if e.State == Final {
		return e.Charge
	}
	return e.Floor
}

// entryBytes bounds the length of the JSON form of an entry without its texts: its keys and
// numbers of at most 20 digits.
const entryBytes = 320

// EncodedBytes returns an upper bound of the length of the JSON form of the entry.
func (e Entry) EncodedBytes() int {
	return entryBytes + quotedBytes(string(e.Request)) + quotedBytes(e.Team) + quotedBytes(e.Budget) + quotedBytes(e.Target)
}

// quotedBytes returns an upper bound of the length of the text in JSON. A byte that is
// escaped takes at most six.
func quotedBytes(text string) int {
	length := len(text)
	for index := range len(text) {
		switch char := text[index]; {
		case char < ' ', char > '~', char == '"', char == '\\', char == '<', char == '>', char == '&':
			length += 5
		}
	}
	return length
}

// Total is the sum of the bills of one budget. Charge is in credits.
type Total struct {
	Budget   string `json:"budget"`
	Requests int    `json:"requests"`
	Open     int    `json:"open"`
	Charge   int64  `json:"charge"`
}

// Merge returns one entry for each request: the final one if there is one.
func Merge(entries []Entry) map[ident.Request]Entry {
	merged := make(map[ident.Request]Entry, len(entries))
	for _, entry := range entries {
		held, ok := merged[entry.Request]
		if ok && held.State == Final {
			continue
		}
		merged[entry.Request] = entry
	}
	return merged
}

// Totals returns the bills of each budget, counting each request once.
func Totals(entries []Entry) map[string]Total {
	totals := make(map[string]Total)
	for _, entry := range Merge(entries) {
		total := totals[entry.Budget]
		total.Budget = entry.Budget
		total.Requests++
		total.Charge += entry.Bill()
		if entry.State == Open {
			total.Open++
		}
		totals[entry.Budget] = total
	}
	return totals
}
