package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/connection/forward"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/version/homes"
)

// The holder of a key is in another region than the caller's router. The body is sent there
// only if that region is a home.
func TestBodiesAreNotForwardedOutsideHomes(t *testing.T) {
	tests := []struct {
		name  string
		homes homes.Homes
		sent  bool
	}{
		{"no homes", homes.Homes{}, true},
		{"holder in a home region", homes.Homes{Route: []string{"central"}}, true},
		{"holder outside the homes of the route", homes.Homes{Route: []string{"southern"}}, false},
		{"holder outside the homes of the team", homes.Homes{Route: []string{"central"}, Team: []string{"southern"}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			holder := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				received.Add(1)
				writer.Header().Set(forward.KeyCheckedHeader, "true")
			}))
			t.Cleanup(holder.Close)
			client := forward.NewClient(forward.Settings{
				Secret:    []byte("a secret of the fleet"),
				Clock:     clock.New(),
				Address:   func(ident.Incarnation) (string, bool) { return holder.Listener.Addr().String(), true },
				Region:    func(ident.Incarnation) string { return "central" },
				OwnRegion: "western",
			})
			response, err := client.Do(context.Background(), "holder", forward.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Homes: test.homes})
			if err == nil {
				_ = response.Body.Close()
			}
			var refused *forward.Error
			if got := errors.As(err, &refused) && refused.Reason == forward.OutsideHomes; got == test.sent {
				t.Errorf("error: got %v, want one with reason %s: %t", err, forward.OutsideHomes, !test.sent)
			}
			if got := received.Load() == 1; got != test.sent {
				t.Errorf("received by the holder: got %t, want %t", got, test.sent)
			}
		})
	}
}
