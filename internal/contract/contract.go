// Package contract defines a customer's contract, from which all limits of the
// customer follow, and its validation.
package contract

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as
// "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string. It rejects a bare number, whose unit
// would be ambiguous.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf(`expected a duration with its unit, such as "500ms", got %s`, b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf(`expected a duration with its unit, such as "500ms", got %q`, s)
	}
	*d = Duration(v)
	return nil
}

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Terms are the limits of a contract, in total or for one service.
type Terms struct {
	// Rate is the limit over the whole fleet, in requests per second.
	Rate float64 `json:"requests_per_second"`
	// Burst is the number of requests over the whole fleet that may briefly
	// exceed the rate.
	Burst int `json:"burst"`
	// MaxWaiting is the number of requests that may wait, over the whole fleet.
	MaxWaiting int `json:"max_waiting"`
	// MaxTime is the time that one request may take, including its wait.
	MaxTime Duration `json:"max_time"`
}

// Contract holds the limits of one customer. A request must be within the total
// and, if the contract has terms for the service, within these too.
type Contract struct {
	Customer string           `json:"customer"`
	Total    Terms            `json:"total"`
	Services map[string]Terms `json:"services,omitempty"`
}

// MaxTime returns the maximum time that a request to the service may take.
func (c *Contract) MaxTime(service string) time.Duration {
	m := c.Total.MaxTime.D()
	if t, ok := c.Services[service]; ok && t.MaxTime.D() < m {
		m = t.MaxTime.D()
	}
	return m
}
