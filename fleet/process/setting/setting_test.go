package setting_test

import (
	"errors"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/process/setting"
)

type listen struct {
	Port    int           `ini:"port"`
	Timeout time.Duration `ini:"timeout"`
	Name    string        `ini:"name"`
	Strict  bool          `ini:"strict"`
	Share   float64       `ini:"share"`
}

type settings struct {
	Listen listen `ini:"listen"`
}

func TestDecodeKeepsDefaults(t *testing.T) {
	got := settings{Listen: listen{Port: 1, Timeout: time.Second, Name: "kept"}}
	content := "[listen]\nport = 7070\nstrict = true\nshare = 0.4\n"
	if err := setting.Decode([]byte(content), &got); err != nil {
		t.Fatal(err)
	}
	want := settings{Listen: listen{Port: 7070, Timeout: time.Second, Name: "kept", Strict: true, Share: 0.4}}
	if got != want {
		t.Errorf("settings: got %+v, want %+v", got, want)
	}
}

func TestDecodeKeepsDefaultsOfEmptyNumbers(t *testing.T) {
	got := settings{Listen: listen{Port: 1, Timeout: time.Second, Name: "replaced", Strict: true, Share: 0.4}}
	content := "[listen]\nport =\ntimeout =\nname =\nstrict =\nshare =\n"
	if err := setting.Decode([]byte(content), &got); err != nil {
		t.Fatal(err)
	}
	want := settings{Listen: listen{Port: 1, Timeout: time.Second, Strict: true, Share: 0.4}}
	if got != want {
		t.Errorf("settings: got %+v, want %+v", got, want)
	}
}

func TestDecodeListsEveryFault(t *testing.T) {
	content := "[listen]\nport = seven\ntimeout = 3\ncolour = red\nshare = NaN\n[other]\nkey = 1\n"
	err := setting.Decode([]byte(content), &settings{})
	var faults *setting.FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("error: got %v, want a FaultsError", err)
	}
	want := []setting.Fault{
		{Section: "listen", Key: "port", Reason: `"seven" is not a whole number`},
		{Section: "listen", Key: "timeout", Reason: `"3" is not a duration such as 250ms`},
		{Section: "listen", Key: "colour", Reason: "unknown key"},
		{Section: "listen", Key: "share", Reason: `"NaN" is not a number`},
		{Section: "other", Key: "-", Reason: "unknown section"},
	}
	if len(faults.Faults) != len(want) {
		t.Fatalf("faults: got %+v, want %+v", faults.Faults, want)
	}
	for index, got := range faults.Faults {
		if got != want[index] {
			t.Errorf("fault %d: got %+v, want %+v", index, got, want[index])
		}
	}
}
