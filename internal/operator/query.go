package operator

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"fulmarhinge/internal/timeline"
)

// Query parameters of PathEvents.
const (
	paramService  = "service"
	paramKey      = "key"
	paramShard    = "shard"
	paramVM       = "vm"
	paramCustomer = "customer"
	paramAfter    = "after"
)

// queryFromFilter is the inverse of filterFromQuery.
func queryFromFilter(f timeline.Filter) url.Values {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	set(paramService, f.Service)
	set(paramKey, f.Key)
	set(paramVM, f.VM)
	set(paramCustomer, f.Customer)
	if f.Shard != nil {
		q.Set(paramShard, strconv.Itoa(*f.Shard))
	}
	if !f.After.IsZero() {
		q.Set(paramAfter, f.After.Format(time.RFC3339Nano))
	}
	return q
}

// filterFromQuery parses a filter. It rejects unknown parameters, since
// ignoring a misspelt one would return too many events.
func filterFromQuery(q url.Values) (timeline.Filter, error) {
	var f timeline.Filter
	for name := range q {
		value := q.Get(name)
		switch name {
		case paramService:
			f.Service = value
		case paramKey:
			f.Key = value
		case paramVM:
			f.VM = value
		case paramCustomer:
			f.Customer = value
		case paramShard:
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return f, fmt.Errorf("shard: got %q; expected a whole number", value)
			}
			f.Shard = &n
		case paramAfter:
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return f, fmt.Errorf("after: got %q; expected a time such as 2026-01-02T15:04:05Z", value)
			}
			f.After = at
		default:
			return f, fmt.Errorf("%s: unknown parameter", name)
		}
	}
	return f, nil
}
