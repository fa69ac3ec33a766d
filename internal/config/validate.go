package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"fulmarhinge/internal/contract"
)

// Bounds of services and routes.
const (
	// MaxShards is the largest number of shards of a service.
	MaxShards = 65536
	// MaxKeySegment is the last path segment that may be the key.
	MaxKeySegment = 32
	// maxPrefixBytes is the longest path prefix.
	maxPrefixBytes = 512
)

// Patterns of names. Service names are part of platform keys, so they have no
// slash.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	headerPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,128}$")
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
)

const nameExpected = "1 to 63 lower-case letters, digits and hyphens, no hyphen first"

// checker collects the problems of one configuration.
type checker struct {
	config   *Config
	problems []contract.Problem
}

// Validate checks a whole configuration. The error is ErrInvalid around an
// InvalidError that names each wrong field.
func Validate(c *Config) error {
	k := &checker{config: c}
	for _, name := range sortedKeys(c.Services) {
		k.service(name, c.Services[name])
	}
	for _, name := range sortedKeys(c.Routes) {
		k.route(name, c.Routes[name])
	}
	k.distinctRoutes()
	for _, name := range sortedKeys(c.Contracts) {
		k.contract(name, c.Contracts[name])
	}
	return k.result()
}

// ValidateChange checks next as a whole and as the successor of prev.
func ValidateChange(prev, next *Config) error {
	k := &checker{config: next}
	for _, name := range sortedKeys(prev.Services) {
		after, ok := next.Services[name]
		if ok && prev.Services[name].DividedByKey && !after.DividedByKey {
			k.wrong(servicePath(name)+".divided_by_key", "true: it can't be taken back while the service exists", false)
		}
	}
	if err := k.result(); err != nil {
		return err
	}
	return Validate(next)
}

// wrong notes one problem.
func (k *checker) wrong(path, expected string, got any) {
	k.problems = append(k.problems, contract.NewProblem(path, expected, got))
}

// result returns the error of the problems, or nil.
func (k *checker) result() error {
	if len(k.problems) == 0 {
		return nil
	}
	return ErrInvalid.Wrap(&InvalidError{Problems: k.problems})
}

// named checks that an item is stored under its own, well-formed name.
func (k *checker) named(path, key, name string) {
	if name != key {
		k.wrong(path+".name", fmt.Sprintf("the name %q that it is stored under", key), name)
	}
	if !namePattern.MatchString(key) {
		k.wrong(path+".name", nameExpected, key)
	}
}

// service checks one service.
func (k *checker) service(name string, s Service) {
	path := servicePath(name)
	k.named(path, name, s.Name)
	if !s.DividedByKey {
		if s.Shards != 0 {
			k.wrong(path+".shards", "0 for a service that is not divided by key", s.Shards)
		}
		return
	}
	if s.Shards < 1 || s.Shards > MaxShards {
		k.wrong(path+".shards", fmt.Sprintf("a whole number from 1 to %d", MaxShards), s.Shards)
	}
	fixed, ok := k.config.FixedShards[name]
	if ok && s.Shards != fixed {
		k.wrong(path+".shards", fmt.Sprintf("%d: the number of shards never changes", fixed), s.Shards)
	}
}

// route checks one route and what it refers to.
func (k *checker) route(name string, r Route) {
	path := routePath(name)
	k.named(path, name, r.Name)
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		k.wrong(path+".host", "a lower-case host name without port, or none", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPrefixBytes {
		k.wrong(path+".path_prefix", fmt.Sprintf("a path from / on of at most %d bytes", maxPrefixBytes), r.PathPrefix)
	}
	if !headerPattern.MatchString(r.CustomerHeader) {
		k.wrong(path+".customer_header", "the name of a header", r.CustomerHeader)
	}
	s, ok := k.config.Services[r.Service]
	if !ok {
		k.wrong(path+".service", "the name of a service that exists", r.Service)
		return
	}
	k.keySegment(path+".key_segment", r, s)
}

// keySegment checks that a route has a key if its service needs one. A segment
// within the prefix is the same for each request, so it can't be the key.
func (k *checker) keySegment(path string, r Route, s Service) {
	if !s.DividedByKey {
		if r.KeySegment != 0 {
			k.wrong(path, fmt.Sprintf("0, as service %q is not divided by key", r.Service), r.KeySegment)
		}
		return
	}
	first := max(1, strings.Count(r.PathPrefix, "/"))
	if r.KeySegment < first || r.KeySegment > MaxKeySegment {
		expected := fmt.Sprintf("a path segment from %d to %d, as service %q is divided by key", first, MaxKeySegment, r.Service)
		k.wrong(path, expected, r.KeySegment)
	}
}

// distinctRoutes checks that no two routes match the same requests.
func (k *checker) distinctRoutes() {
	type match struct{ host, prefix string }
	seen := map[match]string{}
	for _, name := range sortedKeys(k.config.Routes) {
		r := k.config.Routes[name]
		m := match{host: r.Host, prefix: r.PathPrefix}
		if other, ok := seen[m]; ok {
			k.wrong(routePath(name)+".path_prefix", fmt.Sprintf("another host and prefix than route %q", other), r.PathPrefix)
		}
		seen[m] = name
	}
}

// contract checks one contract and the services that it names.
func (k *checker) contract(customer string, c contract.Contract) {
	path := fmt.Sprintf("contracts[%q]", customer)
	if c.Customer != customer {
		k.wrong(path+".customer", fmt.Sprintf("the customer %q that it is stored under", customer), c.Customer)
	}
	k.problems = append(k.problems, c.Validate(path)...)
	for _, name := range sortedKeys(c.Services) {
		if _, ok := k.config.Services[name]; !ok {
			k.wrong(path+".services", "names of services that exist", name)
		}
	}
}

func servicePath(name string) string { return fmt.Sprintf("services[%q]", name) }

func routePath(name string) string { return fmt.Sprintf("routes[%q]", name) }

// sortedKeys returns the keys of a map in order, so that reports and stored
// objects don't depend on the order of maps.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
