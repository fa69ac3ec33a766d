package upstream

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// ErrMalformedLoad is the class of errors of a load header that cannot be read.
var ErrMalformedLoad = errs.Class("malformed load")

const (
	// loadFields is the number of fields of a load header without the slowness.
	loadFields = 3
	// maxSlowness is the highest slowness in percent that is taken for one.
	maxSlowness = 100_000
)

// slowness returns the slowness in the load header of a response, in percent of the
// usual service time; 0 if it states none.
func (c *Client) slowness(h http.Header) (int, error) {
	if c.headers.Load == "" {
		return 0, nil
	}
	text := h.Get(c.headers.Load)
	if text == "" {
		return 0, nil
	}
	fields := strings.Split(text, ",")
	if len(fields) < loadFields || len(fields) > loadFields+1 {
		return 0, ErrMalformedLoad.New("%q", text)
	}
	for _, f := range fields {
		if n, err := strconv.ParseUint(strings.TrimSpace(f), 10, 31); err != nil || n > maxSlowness {
			return 0, ErrMalformedLoad.New("%q", text)
		}
	}
	if len(fields) == loadFields {
		return 0, nil
	}
	n, err := strconv.Atoi(strings.TrimSpace(fields[loadFields]))
	if err != nil || n == 0 {
		return 0, ErrMalformedLoad.New("%q", text)
	}
	return n, nil
}
