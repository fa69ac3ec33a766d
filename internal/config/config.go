// Package config holds the fleet's configuration: services, routes and
// contracts under one revision, how a change is checked and accepted, and how
// a node assembles a revision from its immutable parts.
package config

import (
	"time"

	"fulmarhinge/internal/contract"
)

// Service describes one kind of backend server.
type Service struct {
	Name string `json:"name"`
	// DividedByKey is true if each key is owned by one backend server.
	DividedByKey bool `json:"divided_by_key"`
	// Shards is the number of shards of a service divided by key. It can't be
	// changed once it is set.
	Shards int `json:"shards,omitempty"`
	// ChecksFence is true if its backend servers refuse a stale epoch. The
	// default is the careful one: a new owner waits out old deadlines.
	ChecksFence bool `json:"checks_fence"`
}

// Route says how service, customer and key of a request are found. A route
// matches if the host (when set) is equal and the path has the prefix; the
// longest prefix wins, then a route with a host before one without.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// CustomerHeader names the header that carries the customer.
	CustomerHeader string `json:"customer_header"`
	// KeySegment is the path segment, counted from 1, that is the key; 0 for
	// a service that is not divided by key.
	KeySegment int `json:"key_segment,omitempty"`
}

// Config is one whole configuration.
type Config struct {
	Revision  uint64                       `json:"revision"`
	Services  map[string]Service           `json:"services"`
	Routes    map[string]Route             `json:"routes"`
	Contracts map[string]contract.Contract `json:"contracts"`
}

// MaxTime returns the longest time that any contract lets a request to the
// service take.
func (c *Config) MaxTime(service string) time.Duration {
	var m time.Duration
	for _, ct := range c.Contracts {
		m = max(m, ct.MaxTime(service))
	}
	return m
}
