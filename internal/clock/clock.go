// Package clock reads the boot-time clock, on which leases are measured. The
// clock can't be set and includes the time that the machine is suspended, so the
// first reading after a pause of any kind shows whether a lease has expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Mono is a reading of the boot-time clock in nanoseconds. Readings are
// comparable only within one boot of a VM; processes on the same VM share the
// clock.
type Mono int64

// Now returns the current reading.
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
