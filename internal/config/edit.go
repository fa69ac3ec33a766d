package config

import "reflect"

// Edit changes a configuration in place. It may be called again on a newer one
// if another change was accepted in between, so it must check what it relies on
// and have no other effect.
type Edit func(*Config) error

// All returns the edit that makes several edits as one change.
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

// stamp sets the version of each item that differs from prev to next's
// revision, fixes the shards of new services, and returns the names of the
// parts that changed.
func stamp(prev, next *Config) map[string]bool {
	changed := map[string]bool{}
	stampItems(Services, prev, next, changed)
	stampItems(Routes, prev, next, changed)
	stampItems(Contracts, prev, next, changed)
	for name, s := range next.Services {
		if _, ok := next.FixedShards[name]; !ok && s.DividedByKey {
			next.FixedShards[name] = s.Shards
			changed[RoutingPart] = true
		}
	}
	return changed
}

// stampItems stamps the items of one kind.
func stampItems[T any](k Kind[T], prev, next *Config, changed map[string]bool) {
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
