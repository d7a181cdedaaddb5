// Package jsonhttp decodes the JSON bodies of HTTP requests and encodes those of
// responses. The administration APIs of the simulators use it.
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

// Read decodes the body of the request and refuses unknown fields. If the body
// is not valid, Read responds with status 400 and returns false.
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

// Write responds with status 200 and the value as JSON.
func Write[T any](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
