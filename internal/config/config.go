// Package config holds the fleet's configuration: the services, routes and
// contracts of one revision. It implements how changes are validated and
// accepted, and how a node assembles a revision from its immutable parts.
package config

import (
	"maps"
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
	// ChecksFence is true if the service's backend servers refuse requests with
	// a stale epoch. The default is the safe one: a new owner waits until the
	// deadlines of the previous owner's requests have passed.
	ChecksFence bool `json:"checks_fence"`
}

// Route determines the service, customer and key of a request. A route matches
// if its host, when set, equals the request's and the request's path starts with
// the prefix. The longest prefix wins; of two equal ones, the route with a host.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// CustomerHeader is the name of the header that holds the customer.
	CustomerHeader string `json:"customer_header"`
	// KeySegment is the path segment, counted from 1, that is the key; 0 for a
	// service that is not divided by key.
	KeySegment int `json:"key_segment,omitempty"`
}

// Config is one complete configuration. Revision 0 is the empty configuration of
// a platform that has no configuration yet.
type Config struct {
	Revision  uint64                       `json:"revision"`
	Services  map[string]Service           `json:"services"`
	Routes    map[string]Route             `json:"routes"`
	Contracts map[string]contract.Contract `json:"contracts"`
	// Versions holds the revision at which each item was last changed.
	Versions Versions `json:"versions"`
	// FixedShards is the number of shards of each service that is or was divided
	// by key. It outlives the service because the placement objects do, so a new
	// service of the same name must have the same number of shards.
	FixedShards map[string]int `json:"fixed_shards,omitempty"`
}

// Versions holds, by name, the revision at which each item was last changed. An
// item that does not exist has version 0.
type Versions struct {
	Services  map[string]uint64 `json:"services"`
	Routes    map[string]uint64 `json:"routes"`
	Contracts map[string]uint64 `json:"contracts"`
}

// New returns the empty configuration, revision 0.
func New() *Config {
	return &Config{
		Services:  map[string]Service{},
		Routes:    map[string]Route{},
		Contracts: map[string]contract.Contract{},
		Versions: Versions{
			Services:  map[string]uint64{},
			Routes:    map[string]uint64{},
			Contracts: map[string]uint64{},
		},
		FixedShards: map[string]int{},
	}
}

// Clone returns a deep copy.
func (c *Config) Clone() *Config {
	out := &Config{
		Revision:  c.Revision,
		Services:  maps.Clone(c.Services),
		Routes:    maps.Clone(c.Routes),
		Contracts: maps.Clone(c.Contracts),
		Versions: Versions{
			Services:  maps.Clone(c.Versions.Services),
			Routes:    maps.Clone(c.Versions.Routes),
			Contracts: maps.Clone(c.Versions.Contracts),
		},
		FixedShards: maps.Clone(c.FixedShards),
	}
	for name, ct := range out.Contracts {
		ct.Services = maps.Clone(ct.Services)
		out.Contracts[name] = ct
	}
	return out
}

// MaxTime returns the maximum time that any contract allows for a request to the
// service.
func (c *Config) MaxTime(service string) time.Duration {
	var m time.Duration
	for _, ct := range c.Contracts {
		m = max(m, ct.MaxTime(service))
	}
	return m
}
