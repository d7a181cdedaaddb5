package serve

import "net/http"

// beginning tells when an attempt begins to answer.
type beginning struct {
	Sink
	begun func()
}

// Begin implements Sink.
func (b *beginning) Begin(status int, header http.Header) error {
	b.begun()
	return b.Sink.Begin(status, header)
}

// Part implements Sink.
func (b *beginning) Part(part []byte) error {
	b.begun()
	return b.Sink.Part(part)
}
