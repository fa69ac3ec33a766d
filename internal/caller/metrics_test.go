package caller

import (
	"testing"
	"time"

	"fulmarhinge/internal/result"
)

func TestHistogramBucketsAreCumulative(t *testing.T) {
	d := newHistogram(time.Millisecond, time.Second)
	for _, v := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, time.Minute} {
		d.observe(v)
	}
	for bucket, want := range []uint64{2, 3, 4} {
		if got := d.cumulativeCount(bucket); got != want {
			t.Errorf("bucket %d: %d, want %d", bucket, got, want)
		}
	}
}

func TestEveryCodeHasACounter(t *testing.T) {
	for _, info := range result.Table {
		before := requestCounters[info.Code].Get()
		(&response{code: info.Code}).recordMetrics(time.Now())
		if requestCounters[info.Code].Get() != before+1 {
			t.Errorf("result code %d is not counted", info.Code)
		}
	}
}
