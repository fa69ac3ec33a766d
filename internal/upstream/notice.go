package upstream

import (
	"math"
	"net/http"
	"strconv"

	"github.com/zeebo/errs"
)

// ErrMalformedNotice is the class of errors of a notice that cannot be read.
var ErrMalformedNotice = errs.Class("malformed notice")

// Notice is what a server states about itself in a response.
type Notice struct {
	// Limited is true if the server names a limit: it takes Limit requests per
	// second from all callers together.
	Limited bool
	Limit   float64
	// Leaving is true once the server has begun to leave.
	Leaving bool
}

// notice returns the notice in the headers of a response. The error is of class
// ErrMalformedNotice; the fields that could be read are set all the same.
func (c *Client) notice(h http.Header) (Notice, error) {
	n := Notice{Leaving: c.headers.Leaving != "" && h.Get(c.headers.Leaving) == "1"}
	if c.headers.Limit == "" {
		return n, nil
	}
	text := h.Get(c.headers.Limit)
	if text == "" {
		return n, nil
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		return n, ErrMalformedNotice.New("limit %q", text)
	}
	n.Limited, n.Limit = true, limit
	return n, nil
}
