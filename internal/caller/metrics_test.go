package caller

import (
	"testing"
	"time"

	"fulmarhinge/internal/result"
)

func TestDurationsCountUpToEachBound(t *testing.T) {
	d := newDurations(time.Millisecond, time.Second)
	for _, v := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, time.Minute} {
		d.add(v)
	}
	for bucket, want := range []uint64{2, 3, 4} {
		if got := d.upTo(bucket); got != want {
			t.Errorf("bucket %d: %d, want %d", bucket, got, want)
		}
	}
}

func TestEveryCodeHasACounter(t *testing.T) {
	for _, info := range result.Table {
		before := requestsByCode[info.Code].Get()
		(&answer{code: info.Code}).count(time.Now())
		if requestsByCode[info.Code].Get() != before+1 {
			t.Errorf("%d is not counted", info.Code)
		}
	}
}
