// Package clock reads the clock that leases are measured on: the time since the
// machine's boot, suspension included, which nobody can set. After a pause of any
// kind the first reading already shows that a lease has ended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Mono is a reading of the boot-time clock in nanoseconds. Readings compare
// only within one VM and one boot; co-located processes share the clock.
type Mono int64

// Now returns the present reading.
func Now() Mono {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: boot-time clock cannot be read: " + err.Error())
	}
	return Mono(ts.Nano())
}

// Add returns the reading d later.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the time from o to m.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }
