package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/process/meter"
)

func TestEvacuatedZonesAreServed(t *testing.T) {
	metrics, err := meter.New()
	if err != nil {
		t.Fatal(err)
	}
	if err := metrics.ObserveEvacuations(func() int64 { return 2 }); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	metrics.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	found := false
	for line := range strings.Lines(recorder.Body.String()) {
		found = found || strings.HasPrefix(line, "evacuated_zones") && strings.HasSuffix(line, " 2\n")
	}
	if !found {
		t.Errorf("metrics: got %s, want evacuated_zones 2", recorder.Body.String())
	}
}
