package config

import (
	"fmt"

	"fulmarhinge/internal/contract"
)

// Kind is one kind of item of a configuration: contracts, routes or services.
type Kind[T any] struct {
	// Name is what one item is called, such as "contract".
	Name string
	// NameOf returns the name that an item is stored under.
	NameOf func(T) string

	values   func(*Config) map[string]T
	versions func(*Config) map[string]uint64
	// part returns the name of the part that an item is stored in.
	part func(name string) string
}

// The kinds of items.
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

// routingPart is the part of each route and service.
func routingPart(string) string { return RoutingPart }

// Get returns an item and its version.
func (k Kind[T]) Get(c *Config, name string) (item Item[T], ok bool) {
	v, ok := k.values(c)[name]
	return Item[T]{Version: k.versions(c)[name], Value: v}, ok
}

// List returns the items in the order of their names.
func (k Kind[T]) List(c *Config) []Item[T] {
	var items []Item[T]
	for _, name := range sortedKeys(k.values(c)) {
		item, _ := k.Get(c, name)
		items = append(items, item)
	}
	return items
}

// Set returns the edit that stores an item whose present version is expected;
// 0 adds a new one.
func (k Kind[T]) Set(expected uint64, v T) Edit {
	return func(c *Config) error {
		name := k.NameOf(v)
		if err := k.expect(c, name, expected); err != nil {
			return err
		}
		k.values(c)[name] = v
		return nil
	}
}

// Delete returns the edit that removes an item of the expected version.
func (k Kind[T]) Delete(expected uint64, name string) Edit {
	return func(c *Config) error {
		if err := k.expect(c, name, expected); err != nil {
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

// expect checks the version of an item. Only a change of this very item is a
// conflict, so operators who edit different items don't disturb each other.
func (k Kind[T]) expect(c *Config, name string, expected uint64) error {
	if present := k.versions(c)[name]; present != expected {
		conflict := &ConflictError{Item: k.Name + " " + name, Expected: expected, Present: present}
		return ErrConflict.Wrap(conflict)
	}
	return nil
}
