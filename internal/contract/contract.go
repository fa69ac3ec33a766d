// Package contract defines the contract of a customer, from which every limit
// follows, and checks it.
package contract

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string; a bare number is refused because its
// unit would be a guess.
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
	// Rate is the load, in requests a second, over the whole fleet.
	Rate float64 `json:"requests_per_second"`
	// Burst is how many requests may come at once above the rate.
	Burst int `json:"burst"`
	// MaxWaiting is how many requests may wait, over the whole fleet.
	MaxWaiting int `json:"max_waiting"`
	// MaxTime is how long one request may take, waiting included.
	MaxTime Duration `json:"max_time"`
}

// Contract is what one customer may ask of the fleet. A request is held to
// the total and, where there is one, to the terms of its service.
type Contract struct {
	Customer string           `json:"customer"`
	Total    Terms            `json:"total"`
	Services map[string]Terms `json:"services,omitempty"`
}

// MaxTime returns the longest time that a request to the service may take.
func (c *Contract) MaxTime(service string) time.Duration {
	m := c.Total.MaxTime.D()
	if t, ok := c.Services[service]; ok && t.MaxTime.D() < m {
		m = t.MaxTime.D()
	}
	return m
}
