package command

import "time"

// Arguments is the parsed command line. Exactly one of its pointers is set: the subcommand.
type Arguments struct {
	Platform      string `arg:"--platform,env:JACINTH_PLATFORM" default:"http://127.0.0.1:9100" placeholder:"URL" help:"address of the platform"`
	OperatorsPort int    `arg:"--operators-port,env:JACINTH_OPERATORS_PORT" default:"7072" placeholder:"PORT" help:"port on which routers answer operators"`
	EntryPool     string `arg:"--entry-pool,env:JACINTH_ENTRY_POOL" default:"entry" placeholder:"POOL" help:"pool whose VMs run routers"`
	JSON          bool   `arg:"--json,env:JACINTH_JSON" help:"print JSON"`

	Check       *Check       `arg:"subcommand:check" help:"check a folder of declarations"`
	Apply       *Apply       `arg:"subcommand:apply" help:"publish a folder of declarations"`
	TopUp       *TopUp       `arg:"subcommand:topup" help:"raise the purchased total of a budget and publish"`
	Status      *Status      `arg:"subcommand:status" help:"sum up budgets and routers"`
	Dump        *Dump        `arg:"subcommand:dump" help:"print the state of a router"`
	Drain       *Drain       `arg:"subcommand:drain" help:"tell a router to stop once its requests have ended"`
	Evacuate    *Evacuate    `arg:"subcommand:evacuate" help:"send no new requests to the endpoints of an availability zone, or withdraw that"`
	Evacuations *Evacuations `arg:"subcommand:evacuations" help:"list the evacuated availability zones"`
	Audit       *Audit       `arg:"subcommand:audit" help:"compare bills with accounts and purchases"`
	Bills       *Bills       `arg:"subcommand:bills" help:"list the bill of each request"`
	Trace       *Trace       `arg:"subcommand:trace" help:"follow one request through the logs of routers"`
	Key         *Key         `arg:"subcommand:key" help:"print a fresh key and its digest"`
	Version     *Version     `arg:"subcommand:version" help:"print the version"`
}

// Check validates a folder of declarations without calling the platform.
type Check struct {
	Dir string `arg:"--dir,required,env:JACINTH_DIR" placeholder:"DIR" help:"folder of declarations"`
}

// Apply publishes a folder of declarations and waits until the routers confirm it.
type Apply struct {
	Dir  string        `arg:"--dir,required,env:JACINTH_DIR" placeholder:"DIR" help:"folder of declarations"`
	Wait time.Duration `arg:"--wait,env:JACINTH_WAIT" default:"14s" placeholder:"DURATION" help:"longest wait for routers to confirm"`
	Base *int64        `arg:"--base" placeholder:"NUMBER" help:"refuse to change any generation but this one"`
}

// TopUp raises the purchased total of a budget and publishes the folder.
type TopUp struct {
	Apply
	Budget string `arg:"--budget,required" placeholder:"NAME" help:"budget to raise"`
	To     int64  `arg:"--to,required" placeholder:"CREDITS" help:"new total of all purchases"`
}

// Status prints a summary of the budgets and the routers.
type Status struct {
	SkipBills bool `arg:"--skip-bills" help:"do not read the journal, which takes a call for each segment"`
}

// Dump prints the state dump of a router.
type Dump struct {
	VM string `arg:"--vm,required" placeholder:"NAME" help:"VM of the router"`
}

// Drain makes a router stop accepting requests and stop once those in flight have ended.
type Drain struct {
	VM string `arg:"--vm,required" placeholder:"NAME" help:"VM of the router"`
}

// Evacuate keeps new requests from the endpoints of an availability zone. The response of
// the platform's store acknowledges it.
type Evacuate struct {
	Zone     string `arg:"--zone,required" placeholder:"NAME" help:"availability zone"`
	Withdraw bool   `arg:"--withdraw" help:"end the evacuation of the zone"`
}

// Evacuations lists the evacuated availability zones.
type Evacuations struct{}

// Audit compares the bills with the accounts and the purchases.
type Audit struct{}

// Bills prints the bill of each request.
type Bills struct {
	Team string `arg:"--team" placeholder:"NAME" help:"only the requests of one team"`
}

// Trace prints the log lines about one request from the logs of routers.
type Trace struct {
	Request string        `arg:"--request,required" placeholder:"ID" help:"how the request's name ends, such as the caller's id of its attempt"`
	Before  time.Duration `arg:"--before" default:"10s" placeholder:"DURATION" help:"how much to show of what happened before the request"`
	Logs    []string      `arg:"positional,required" placeholder:"FILE" help:"logs of routers"`
}

// Key prints a random API key and its digest.
type Key struct{}

// Version prints the versions of the program and of Go.
type Version struct{}
