package membership_test

import (
	"net"
	"net/http/httptest"
	"testing"
)

// listenAt returns an unstarted server that listens at the address, which another server
// used until it was closed.
func listenAt(t *testing.T, address string) *httptest.Server {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("listen: got %v, want no error", err)
	}
	server := httptest.NewUnstartedServer(nil)
	_ = server.Listener.Close()
	server.Listener = listener
	return server
}
