package faultwriter

import "net/http"

// discard is a writer that nobody reads.
type discard struct {
	header http.Header
}

// Discard returns a writer that drops the answer.
func Discard() http.ResponseWriter {
	return discard{header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header {
	return d.header
}

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (discard) Write(data []byte) (int, error) {
	return len(data), nil
}
