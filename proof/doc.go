// Package proof contains the tests that run a fleet as separate processes and check
// its records after faults.
package proof
