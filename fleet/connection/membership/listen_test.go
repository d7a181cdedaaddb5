package membership_test

import (
	"net"
	"net/http/httptest"
	"testing"
)

// listenAt returns an unstarted server that listens at the given address, so that a process
// can take over the address of a closed server.
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
