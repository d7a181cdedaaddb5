package declaration_test

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/version/declaration"
)

var (
	digestA = strings.Repeat("a", 64)
	digestB = strings.Repeat("b", 64)
)

// valid declares a set without faults. Each test case changes one part of it.
var valid = `
[team hall]
budget = hall
key_digests = ` + digestA + `
[budget hall]
purchased = 100000
[model small]
pool = runners
input_price = 1
output_price = 4
[service redeem]
pool = runners
price = 100
[route small]
kind = model
target = small
[pool runners]
kind = endpoint
port = 8000
[pool entry]
kind = entry
port = 7070
`

func load(files ...string) (declaration.Set, []declaration.Fault, error) {
	folder := make(fstest.MapFS)
	for i, text := range files {
		folder[string(rune('a'+i))+".ini"] = &fstest.MapFile{Data: []byte(text)}
	}
	set, err := declaration.Load(folder)
	var faults *declaration.FaultsError
	if errors.As(err, &faults) {
		return set, faults.Faults, nil
	}
	return set, nil, err
}

func TestLoadFillsInDefaults(t *testing.T) {
	set, faults, err := load(valid)
	if err != nil || len(faults) > 0 {
		t.Fatalf("load: got %v and faults %v, want none", err, faults)
	}
	want := declaration.Team{
		Name: "hall", Budget: "hall", KeyDigests: []string{digestA}, MaxConcurrent: 64, Weight: 1,
	}
	if got := set.Teams[0]; !reflect.DeepEqual(got, want) {
		t.Errorf("team: got %+v, want %+v", got, want)
	}
	if got, want := set.Models[0].StallTimeout, 15*time.Second; got != want {
		t.Errorf("stall: got %s, want %s", got, want)
	}
	if got, want := set.Pools[0].Name, "entry"; got != want {
		t.Errorf("first pool: got %s, want %s", got, want)
	}
}

// faultCase replaces a part of the valid declarations and has the fault that it causes.
type faultCase struct {
	old, changed string
	want         string
}

var faultCases = map[string]faultCase{
	"unknown kind":                  {"[route small]", "[rout small]", "rout small: unknown kind of object in a.ini"},
	"section without name":          {"[route small]", "[route]", "file a.ini: section [route] is not of the form [kind name]"},
	"key outside":                   {"\n[team hall]", "x = 1\n[team hall]", "file a.ini: x: stands outside of any section"},
	"broken line":                   {"kind = model", "kind", "file a.ini: key-value delimiter not found: kind"},
	"unknown key":                   {"price = 100", "price = 100\ncost = 1", "service redeem: cost: unknown key"},
	"key twice":                     {"price = 100", "price = 100\nprice = 100", "service redeem: price: declared more than once"},
	"empty key":                     {"price = 100", "price =", "service redeem: price: empty"},
	"missing key":                   {"price = 100", "", "service redeem: price: missing"},
	"not a number":                  {"purchased = 100000", "purchased = 1e5", `budget hall: purchased: "1e5" is not a whole number`},
	"number overflows":              {"purchased = 100000", "purchased = 9223372036854775808", "budget hall: purchased: 9223372036854775808 is too large"},
	"amount above limit":            {"purchased = 100000", "purchased = 9007199254740993", "budget hall: purchased: 9007199254740993 is not between 1 and 9007199254740992"},
	"zero amount":                   {"price = 100", "price = 0", "service redeem: price: 0 is not between 1 and 9007199254740992"},
	"negative amount":               {"input_price = 1", "input_price = -1", "model small: input_price: -1 is not between 1 and 2147483648"},
	"bad boolean":                   {"price = 100", "price = 100\nidempotent = yes", `service redeem: idempotent: "yes" is not true or false`},
	"bad duration":                  {"price = 100", "price = 100\ntimeout = 5", `service redeem: timeout: "5" is not a duration such as 30s`},
	"timeout too long":              {"price = 100", "price = 100\ntimeout = 2h", "service redeem: timeout: 2h0m0s is not between 10ms and 1h0m0s"},
	"stall above timeout":           {"output_price = 4", "output_price = 4\ntimeout = 1s", "model small: stall: 15s is above timeout 1s"},
	"default above maximum":         {"output_price = 4", "output_price = 4\nmax_output = 9", "model small: default_output: 512 is above max_output 9"},
	"cost overflows":                {"output_price = 4", "output_price = 2147483648\nmax_output = 9007199254740992\ndefault_output = 9007199254740992", "model small: max_output: max_output times output_price is above 9007199254740992 credits"},
	"bad port":                      {"port = 8000", "port = 65536", "pool runners: port: 65536 is not between 1 and 65535"},
	"cold time without rate":        {"port = 8000", "port = 8000\ncold_time = 3s", "pool runners: cold_rate: 0 is not between 0.001 and 1048576"},
	"cold rate without time":        {"port = 8000", "port = 8000\ncold_rate = 10", "pool runners: cold_time: 0s is not between 10ms and 1h0m0s"},
	"cold rate below zero":          {"port = 8000", "port = 8000\ncold_rate = -1\ncold_time = 3s", "pool runners: cold_rate: -1 is not between 0.001 and 1048576"},
	"cold rate not a number":        {"port = 8000", "port = 8000\ncold_rate = ten", `pool runners: cold_rate: "ten" is not a number such as 2.5`},
	"cold rate is NaN":              {"port = 8000", "port = 8000\ncold_rate = NaN\ncold_time = 3s", "pool runners: cold_rate: NaN is not between 0.001 and 1048576"},
	"cold rate of routers":          {"kind = entry", "kind = entry\ncold_rate = 10\ncold_time = 3s", "pool entry: cold_rate: only a pool of endpoints can have one"},
	"bad pool kind":                 {"kind = entry", "kind = door", `pool entry: kind: "door" is not entry or endpoint`},
	"bad route kind":                {"kind = model", "kind = modle", `route small: kind: "modle" is not model or service`},
	"bad name":                      {"[service redeem]", "[service Redeem_1]", "service Redeem_1: name does not match ^[a-z0-9-]{1,63}$"},
	"bad digest":                    {digestA, "abc", `team hall: key_digests: "abc" is not a SHA-256 digest in lower-case hex`},
	"empty list item":               {digestA, digestA + ",", "team hall: key_digests: has an empty item"},
	"digest twice":                  {digestA, digestA + ", " + digestA, "team hall: key_digests: digest " + digestA + " is also a key of team hall"},
	"shared digest":                 {"[route small]", "[team annex]\nbudget = hall\nkey_digests = " + digestA + "\n[route small]", "team hall: key_digests: digest " + digestA + " is also a key of team annex"},
	"unknown budget":                {"budget = hall", "budget = hal", `team hall: budget: budget "hal" is not declared`},
	"unknown pool":                  {"pool = runners\nprice", "pool = walkers\nprice", `service redeem: pool: pool "walkers" is not declared`},
	"entry pool as target":          {"pool = runners\nprice", "pool = entry\nprice", `service redeem: pool: pool "entry" is of kind entry, not endpoint`},
	"unknown target":                {"target = small", "target = large", `route small: target: model "large" is not declared`},
	"unknown team":                  {"target = small", "target = small\nteams = hall, attic", `route small: teams: team "attic" is not declared`},
	"team named twice":              {"target = small", "target = small\nteams = hall, hall", `route small: teams: team "hall" is named twice`},
	"route declared twice":          {"[pool entry]", "[route small]\nkind = service\ntarget = redeem\n[pool entry]", "route small: declared in a.ini and again in a.ini"},
	"budget below cheapest request": {"purchased = 100000", "purchased = 2048", "budget hall: purchased: 2048 does not pay one request of team hall, which costs at least 2049"},
}

func TestLoadReportsEachFault(t *testing.T) {
	for name, test := range faultCases {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(valid, test.old) {
				t.Fatalf("the valid set has no %q", test.old)
			}
			_, faults, err := load(strings.Replace(valid, test.old, test.changed, 1))
			if err != nil {
				t.Fatal(err)
			}
			if len(faults) == 0 || !contains(faults, test.want) {
				t.Errorf("faults: got %v, want %q among them", faults, test.want)
			}
		})
	}
}

func contains(faults []declaration.Fault, want string) bool {
	for _, fault := range faults {
		if fault.String() == want {
			return true
		}
	}
	return false
}

func TestLoadCollectsFaultsOfAllFilesInOrder(t *testing.T) {
	_, faults, err := load(valid, "[pool entry]\nkind = entry\nport = x\n[budget b]\n", "[team z]\nbudget = b\n")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, fault := range faults {
		got = append(got, fault.String())
	}
	want := []string{
		"budget b: purchased: missing",
		"pool entry: declared in a.ini and again in b.ini",
		"team z: key_digests: missing",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("faults: got %q, want %q", got, want)
	}
}

func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"quickstart.d", "authority", "kowhai"} {
		if _, err := declaration.Load(os.DirFS("../../../examples/" + name)); err != nil {
			t.Errorf("%s: got %v, want no faults", name, err)
		}
	}
}
