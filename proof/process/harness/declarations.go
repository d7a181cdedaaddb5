package harness

import "strings"

// API keys of the two teams, whose digests are in the declarations.
const (
	HallKey  = "hall-example-key"
	AnnexKey = "annex-example-key"
)

// Prices of a token and of a service call, and the purchased total of each budget,
// in credits.
const (
	InputPrice   = 1
	OutputPrice  = 4
	RedeemPrice  = 100
	balancePrice = 1
	Purchased    = 1_000_000
)

// Names of the declared budgets.
const (
	HallBudget  = "hall"
	annexBudget = "annex"
)

// declarations is a complete set of declarations: two teams, one model, and two
// services, of which only balance is idempotent.
const declarations = `
[team hall]
budget = hall
key_digests = 8652197c37345f875d4448cb8c261353b7930245056ca8b60b023e9075b04c4c
max_concurrent = 256

[team annex]
budget = annex
key_digests = 8be81b1cda3bbefd2425f9c6d14c31a2edd47274b1b5e550275d0f41f8fe2de5
max_concurrent = 256

[budget hall]
purchased = 1000000

[budget annex]
purchased = 1000000

[model small]
pool = runners
input_price = 1
output_price = 4
default_output = 64
max_output = 1024
timeout = 20s
stall = 2s

[service redeem]
pool = runners
price = 100
idempotent = false
timeout = 3s

[service balance]
pool = runners
price = 1
idempotent = true
timeout = 3s

[route small]
kind = model
target = small

[route redeem]
kind = service
target = redeem

[route balance]
kind = service
target = balance

[pool entry]
kind = entry
port = 7070

[pool runners]
kind = endpoint
port = 8000
max_in_flight = 64
`

// DeclarationsWith returns the declarations with the first occurrence of a text
// replaced.
func DeclarationsWith(old, replacement string) string {
	return strings.Replace(declarations, old, replacement, 1)
}

// DeclarationsWithShortTimeouts returns the declarations with short timeouts, so that
// requests to silent endpoints fail soon.
func DeclarationsWithShortTimeouts() string {
	return strings.NewReplacer("stall = 2s", "stall = 500ms", "timeout = 3s", "timeout = 700ms").Replace(declarations)
}
