package config

import "reflect"

// Edit changes a configuration in place. It is called again with a newer
// configuration if another change was accepted in between, so it must check its
// preconditions and have no side effects.
type Edit func(*Config) error

// All returns an edit that applies several edits as one change.
func All(edits ...Edit) Edit {
	return func(c *Config) error {
		for _, e := range edits {
			if err := e(c); err != nil {
				return err
			}
		}
		return nil
	}
}

// assignVersions sets the version of each item that differs from prev to next's
// revision, records the number of shards of new services, and returns the names
// of the changed parts.
func assignVersions(prev, next *Config) map[string]bool {
	changed := map[string]bool{}
	assignItemVersions(Services, prev, next, changed)
	assignItemVersions(Routes, prev, next, changed)
	assignItemVersions(Contracts, prev, next, changed)
	for name, s := range next.Services {
		if _, ok := next.FixedShards[name]; !ok && s.DividedByKey {
			next.FixedShards[name] = s.Shards
			changed[RoutingPart] = true
		}
	}
	return changed
}

// assignItemVersions sets the versions of the items of one kind and adds the
// names of the changed parts to changed.
func assignItemVersions[T any](k Kind[T], prev, next *Config, changed map[string]bool) {
	before, after := k.values(prev), k.values(next)
	versions := k.versions(next)
	for name, v := range after {
		old, ok := before[name]
		if ok && reflect.DeepEqual(old, v) {
			continue
		}
		versions[name] = next.Revision
		changed[k.part(name)] = true
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			delete(versions, name)
			changed[k.part(name)] = true
		}
	}
}
