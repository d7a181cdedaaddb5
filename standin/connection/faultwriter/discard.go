package faultwriter

import "net/http"

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Discard returns a writer that discards the response.
func Discard() http.ResponseWriter {
	return discardWriter{header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header {
	return d.header
}

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (discardWriter) Write(data []byte) (int, error) {
	return len(data), nil
}
