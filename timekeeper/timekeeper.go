// Package timekeeper reads the clock that counts from the boot of the VM (CLOCK_BOOTTIME).
//
// All processes on a VM share this clock. It keeps running while the VM is suspended, and
// changes of the time of day do not affect it. It restarts at a reboot, so a reading includes
// the kernel's boot ID.
//
// The boot ID alone does not identify a boot: a VM restored from a snapshot keeps the old ID,
// and so does a container that restarts on a running host. Two readings are comparable only if
// the time of day shows the same time between them.
//
//	elapsed, ok := timekeeper.Elapsed(earlier, later)
package timekeeper

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds the kernel's boot ID.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// maxClockDeviation is the largest difference between the time of day and the clock since boot
// over the interval between two readings. Clock corrections shift the time of day by a few
// milliseconds per second at most; jumps are of seconds.
const maxClockDeviation = 300 * time.Millisecond

// maxClockStep is the largest step of the time of day that is assumed. Clocks of VMs differ by up to 5 s, and a step may
// go from one end to the other.
const maxClockStep = 10 * time.Second

// Reading is a reading of the clock. The zero value is not comparable with any other.
type Reading struct {
	// BootID identifies the boot.
	BootID string `cbor:"boot"`
	// SinceBoot is the time since the boot.
	SinceBoot time.Duration `cbor:"since"`
	// WallTime is the time of day of the reading, in nanoseconds since 1970.
	WallTime int64 `cbor:"wall"`
}

// Read reads the clock. The error names the file or the clock that cannot be read.
func Read() (Reading, error) {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		return Reading{}, fmt.Errorf("read the boot ID: %w", err)
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Reading{}, fmt.Errorf("read the clock since boot: %w", err)
	}
	return Reading{
		BootID: strings.TrimSpace(string(boot)), SinceBoot: time.Duration(t.Nano()), WallTime: time.Now().UnixNano(),
	}, nil
}

// Elapsed returns the time between two readings. It reports false when they are not comparable.
func Elapsed(earlier, later Reading) (time.Duration, bool) {
	elapsed := later.SinceBoot - earlier.SinceBoot
	wallElapsed := time.Duration(later.WallTime - earlier.WallTime)
	if earlier.BootID == "" || earlier.BootID != later.BootID || elapsed < 0 || (elapsed-wallElapsed).Abs() > maxClockDeviation {
		return 0, false
	}
	return elapsed, true
}

// PossiblyElapsed returns the time between two readings if they may be of one boot, although the time of day does not
// show the same time between them: it may have been set. It reports false when they are not of one boot.
func PossiblyElapsed(earlier, later Reading) (time.Duration, bool) {
	elapsed := later.SinceBoot - earlier.SinceBoot
	wallElapsed := time.Duration(later.WallTime - earlier.WallTime)
	if earlier.BootID == "" || earlier.BootID != later.BootID || elapsed < 0 || (elapsed-wallElapsed).Abs() > maxClockStep {
		return 0, false
	}
	return elapsed, true
}
