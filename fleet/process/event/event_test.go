package event_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/event"
)

func TestCatalogueIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := strings.Count(string(page), "\n| ") - 1
	if want := len(event.All()); documented != want {
		t.Errorf("rows in EVENTS.md: got %d, want %d", documented, want)
	}
	last := 0
	for _, kind := range event.All() {
		row := fmt.Sprintf("| %d | %s | %s |", kind.Number, kind.Message, kind.Level)
		if !strings.Contains(string(page), row) {
			t.Errorf("EVENTS.md lacks the row %q", row)
		}
		if kind.Number <= last {
			t.Errorf("event %d: numbers must grow", kind.Number)
		}
		last = kind.Number
	}
}

func TestLogWritesNumberedJSON(t *testing.T) {
	var out bytes.Buffer
	log := event.NewLog(&out, logrus.InfoLevel, event.String("vm", "entry-1"))
	log.Emit(event.GenerationActivated, event.Int("generation", 7))

	var line struct {
		Event      int    `json:"event"`
		VM         string `json:"vm"`
		Generation int    `json:"generation"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprint(line), "{2001 entry-1 7}"; got != want {
		t.Errorf("line: got %s, want %s", got, want)
	}
}
