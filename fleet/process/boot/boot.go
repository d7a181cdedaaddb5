// Package boot identifies the boot of the VM on which a process runs, and how long ago it
// was. A later process of the same boot can tell from it how long an earlier one may have
// run after its last record.
//
// # Usage
//
//	started, err := boot.Read()
//	sameBoot := started.ID == recorded.ID && started.Uptime >= recorded.Uptime
package boot

import (
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// idFile has a random id that the kernel draws at each boot.
const idFile = "/proc/sys/kernel/random/boot_id"

// Boot is a moment of one boot.
type Boot struct {
	// ID is empty if the boot is not known.
	ID string
	// Uptime is the reading of the monotonic clock. It does not count the time in which the
	// VM was suspended.
	Uptime time.Duration
}

// Read returns the current moment.
func Read() (Boot, error) {
	id, err := os.ReadFile(idFile)
	if err != nil {
		return Boot{}, errors.Annotate(err, "boot id")
	}
	var uptime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &uptime); err != nil {
		return Boot{}, errors.Annotate(err, "uptime")
	}
	return Boot{ID: strings.TrimSpace(string(id)), Uptime: time.Duration(uptime.Nano())}, nil
}
