package config

import (
	"fmt"

	"fulmarhinge/internal/contract"
)

// Kind describes one kind of configuration item: contracts, routes or services.
type Kind[T any] struct {
	// Name is the singular name of the kind, such as "contract".
	Name string
	// NameOf returns the name that an item is stored under.
	NameOf func(T) string

	values   func(*Config) map[string]T
	versions func(*Config) map[string]uint64
	// part returns the name of the part that an item is stored in.
	part func(name string) string
}

// The kinds of configuration items.
var (
	Contracts = Kind[contract.Contract]{
		Name:     "contract",
		NameOf:   func(c contract.Contract) string { return c.Customer },
		values:   func(c *Config) map[string]contract.Contract { return c.Contracts },
		versions: func(c *Config) map[string]uint64 { return c.Versions.Contracts },
		part:     ContractPart,
	}
	Routes = Kind[Route]{
		Name:     "route",
		NameOf:   func(r Route) string { return r.Name },
		values:   func(c *Config) map[string]Route { return c.Routes },
		versions: func(c *Config) map[string]uint64 { return c.Versions.Routes },
		part:     routingPart,
	}
	Services = Kind[Service]{
		Name:     "service",
		NameOf:   func(s Service) string { return s.Name },
		values:   func(c *Config) map[string]Service { return c.Services },
		versions: func(c *Config) map[string]uint64 { return c.Versions.Services },
		part:     routingPart,
	}
)

// routingPart returns the part that all routes and services are stored in.
func routingPart(string) string { return RoutingPart }

// Get returns an item and its version.
func (k Kind[T]) Get(c *Config, name string) (item Item[T], ok bool) {
	v, ok := k.values(c)[name]
	return Item[T]{Version: k.versions(c)[name], Value: v}, ok
}

// List returns the items sorted by name.
func (k Kind[T]) List(c *Config) []Item[T] {
	var items []Item[T]
	for _, name := range sortedKeys(k.values(c)) {
		item, _ := k.Get(c, name)
		items = append(items, item)
	}
	return items
}

// Set returns an edit that stores an item if its current version is the expected
// one. Version 0 adds a new item.
func (k Kind[T]) Set(expected uint64, v T) Edit {
	return func(c *Config) error {
		name := k.NameOf(v)
		if err := k.checkVersion(c, name, expected); err != nil {
			return err
		}
		k.values(c)[name] = v
		return nil
	}
}

// Delete returns an edit that removes an item if its current version is the
// expected one.
func (k Kind[T]) Delete(expected uint64, name string) Edit {
	return func(c *Config) error {
		if err := k.checkVersion(c, name, expected); err != nil {
			return err
		}
		if expected == 0 {
			problem := contract.NewProblem(k.Name, fmt.Sprintf("the name of a %s that exists", k.Name), name)
			return ErrInvalid.Wrap(&InvalidError{Problems: []contract.Problem{problem}})
		}
		delete(k.values(c), name)
		return nil
	}
}

// checkVersion returns ErrConflict if an item's version is not the expected one.
// Versions are per item, so changes of different items don't conflict.
func (k Kind[T]) checkVersion(c *Config, name string, expected uint64) error {
	if current := k.versions(c)[name]; current != expected {
		conflict := &ConflictError{Item: k.Name + " " + name, Expected: expected, Current: current}
		return ErrConflict.Wrap(conflict)
	}
	return nil
}
