// Package timekeeper reads the clock that runs since the VM has booted.
//
// Processes that follow each other on a VM share this clock, and no change of the time of
// day moves it. It goes on while the VM is suspended. After a reboot it begins anew, so a
// reading names the boot.
//
// The name alone is not trusted: a VM that is restored from a snapshot has the old one, and
// so has a container whose host did not reboot. Two readings are comparable only when the
// time of day agrees that as much time lies between them.
//
//	passed, ok := timekeeper.Between(then, now)
package timekeeper

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootFile holds the identity of the kernel's boot.
const bootFile = "/proc/sys/kernel/random/boot_id"

// disagreement is the most by which the time of day may differ from the clock between two
// readings. It is corrected by a few milliseconds a second at the most; when it jumps, by
// seconds.
const disagreement = 300 * time.Millisecond

// Reading is a reading of the clock. The zero value is comparable with no other.
type Reading struct {
	// BootID is the identity of the boot.
	BootID string `cbor:"boot"`
	// SinceBoot is the time since the boot.
	SinceBoot time.Duration `cbor:"since"`
	// WallTime is the time of day of the reading, in nanoseconds since 1970.
	WallTime int64 `cbor:"wall"`
}

// Read reads the clock. The error names the file or the clock that cannot be read.
func Read() (Reading, error) {
	boot, err := os.ReadFile(bootFile)
	if err != nil {
		return Reading{}, fmt.Errorf("read the identity of the boot: %w", err)
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Reading{}, fmt.Errorf("read the clock since the boot: %w", err)
	}
	return Reading{
		BootID: strings.TrimSpace(string(boot)), SinceBoot: time.Duration(t.Nano()), WallTime: time.Now().UnixNano(),
	}, nil
}

// Elapsed returns the time from one reading to a later one. It reports false when they are
// not comparable.
func Elapsed(earlier, later Reading) (time.Duration, bool) {
	passed := later.SinceBoot - earlier.SinceBoot
	byWall := time.Duration(later.WallTime - earlier.WallTime)
	if earlier.BootID == "" || earlier.BootID != later.BootID || passed < 0 || (passed-byWall).Abs() > disagreement {
		return 0, false
	}
	return passed, true
}
