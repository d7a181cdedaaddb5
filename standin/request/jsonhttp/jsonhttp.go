// Package jsonhttp reads and writes the JSON bodies of the stand-ins' own APIs.
//
// # Usage
//
//	faults, ok := jsonhttp.Read[endpoint.Faults](w, r)
//	if !ok {
//		return
//	}
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// Read decodes the body of the request. If it is not valid it answers so and
// returns false.
func Read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return value, false
	}
	return value, true
}

// Write answers with the value.
func Write[T any](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
