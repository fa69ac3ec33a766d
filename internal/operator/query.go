package operator

import (
	"fmt"
	"net/url"
	"strconv"

	"fulmarhinge/internal/timeline"
)

// Query parameters of the events path.
const (
	paramService  = "service"
	paramKey      = "key"
	paramShard    = "shard"
	paramVM       = "vm"
	paramCustomer = "customer"
)

// filterFromQuery reads a filter; an unknown parameter is refused, since a
// misspelt one would answer with too many events.
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
		default:
			return f, fmt.Errorf("%s: unknown parameter", name)
		}
	}
	return f, nil
}
