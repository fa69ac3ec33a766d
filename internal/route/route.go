// Package route holds the routing configuration and matches requests to routes.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Route defines how requests with a host and path prefix are routed.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Bulk marks routes with large responses.
	Bulk bool
	// Timeout is the maximum time in which a request must be completed; 0 means no
	// limit.
	Timeout time.Duration
	// TargetLatency is the latency target: a response after this time is worth less to
	// the caller.
	TargetLatency time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the number of backend servers a request may be offered to.
	MaxAttempts int
	// Split distributes the requests over services; it has at least one element.
	Split []WeightedService
}

// WeightedService is a service with its weight in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Pick returns a service at random, in proportion to the weights.
func (r *Route) Pick() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	remaining := rand.Float64() * total
	for _, p := range r.Split {
		if remaining -= p.Weight; remaining < 0 {
			return p.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// Keyed is true for a service that is divided by ordered keys.
	Keyed bool
	// HealthPath is the path of the health check of a backend server.
	HealthPath string
	// MaxConns is the maximum number of connections to one backend server.
	MaxConns int
	// SlowStart applies to a backend server that has just started.
	SlowStart SlowStart
}

// SlowStart describes how a backend server warms up. The zero value means that the
// service has no slow start.
type SlowStart struct {
	// Duration is how long a server stays cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold server tolerates.
	PerSecond float64
}

// Limits holds the size and time limits for requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version is assigned by the operator and never decreases.
	Version      uint64
	Services     map[string]Service
	Limits       Limits
	routesByHost map[string][]*Route
}

// New returns a configuration with its routes indexed.
func New(version uint64, routes []*Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, routesByHost: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int {
			if d := len(b.Prefix) - len(a.Prefix); d != 0 {
				return d
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	return c
}

// Match returns the host's route with the longest matching path prefix, or nil.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list := c.routesByHost[host]
	if list == nil {
		if name, _, found := strings.Cut(host, ":"); found {
			list = c.routesByHost[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routesByHost {
		n += len(list)
	}
	return n
}

// KeyedServices returns the services that are divided by ordered keys.
func (c *Config) KeyedServices() map[string]bool {
	out := map[string]bool{}
	for name, s := range c.Services {
		if s.Keyed {
			out[name] = true
		}
	}
	return out
}
