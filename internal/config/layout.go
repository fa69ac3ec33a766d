package config

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/contract"
)

// Layout of the configuration in the platform. The head names the parts of one
// revision. Parts are immutable, so a reader that has the head and all of its
// parts has one complete revision, and a change becomes visible atomically.
const (
	// PartPrefix is the prefix of the keys of parts.
	PartPrefix = "config/part/"
	// RoutingPart is the name of the part with the services and routes.
	RoutingPart = "routing"
	// ContractBuckets is the number of parts that contracts are distributed over
	// by hash. A change of one contract writes one of them.
	ContractBuckets = 64
	// MaxRecentChanges is the number of accepted changes that the head lists, so
	// that the outcome of a change can be determined after a lost answer even if
	// others have changed the head since.
	MaxRecentChanges = 16
)

// Accepted identifies an accepted change.
type Accepted struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
}

// Head is the object whose conditional update accepts a change.
type Head struct {
	Accepted
	// Parts maps the name of each part to the key of its object.
	Parts map[string]string `json:"parts"`
	// Recent lists the last accepted changes, newest first, including this one.
	Recent []Accepted `json:"recent"`
	// Superseded lists parts of earlier revisions that are not removed yet.
	Superseded []SupersededPart `json:"superseded,omitempty"`
	// Sweeps counts the removals of unused parts. Each one updates the head, so
	// that no change that started before it can still be accepted.
	Sweeps uint64 `json:"sweeps,omitempty"`
}

// SupersededPart is a part that a later revision replaced.
type SupersededPart struct {
	Key string `json:"key"`
	// Revision is the revision that replaced the part.
	Revision uint64 `json:"revision"`
}

// Item is a stored service, route or contract with its version.
type Item[T any] struct {
	Version uint64 `json:"version"`
	Value   T      `json:"value"`
}

// Part is the content of a stored part. Its unused fields are empty.
type Part struct {
	Services    map[string]Item[Service]           `json:"services,omitempty"`
	Routes      map[string]Item[Route]             `json:"routes,omitempty"`
	FixedShards map[string]int                     `json:"fixed_shards,omitempty"`
	Contracts   map[string]Item[contract.Contract] `json:"contracts,omitempty"`
}

// ContractPart returns the name of the part that holds a customer's contract.
func ContractPart(customer string) string {
	return fmt.Sprintf("contracts-%02d", xxhash.Sum64String(customer)%ContractBuckets)
}

// partKey returns the key under which a change stores a part.
func partKey(name, changeID string) string { return PartPrefix + name + "-" + changeID }

// DecodeHead decodes a stored head. It ignores unknown fields, so that nodes of
// two releases can share a head during an upgrade.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, ErrCorrupt.New("head: %v", err)
	}
	if h.Revision == 0 || h.ChangeID == "" {
		return Head{}, ErrCorrupt.New("head: expected a revision above 0 and a change id")
	}
	for name, key := range h.Parts {
		if !strings.HasPrefix(key, PartPrefix) {
			return Head{}, ErrCorrupt.New("head: part %s: expected a key under %s, got %q", name, PartPrefix, key)
		}
	}
	return h, nil
}

// Assemble returns the configuration of a head from the values of its parts. If
// parts are missing, it returns their keys and no configuration.
func Assemble(h Head, get func(key string) ([]byte, bool)) (cfg *Config, missing []string, err error) {
	return NewAssembler().Assemble(h, get)
}

// Assembler assembles successive revisions. It keeps the decoded parts of the
// last one, so that only changed parts are decoded.
type Assembler struct {
	parts map[string]*Part
}

// NewAssembler returns an assembler without cached parts.
func NewAssembler() *Assembler { return &Assembler{parts: map[string]*Part{}} }

// Assemble is like the function Assemble. It does not validate the
// configuration, because an accepted configuration is in force in any case.
func (a *Assembler) Assemble(h Head, get func(key string) ([]byte, bool)) (cfg *Config, missing []string, err error) {
	parts := make(map[string]*Part, len(h.Parts))
	for _, name := range sortedKeys(h.Parts) {
		key := h.Parts[name]
		p, ok := a.parts[key]
		if !ok {
			value, found := get(key)
			if !found {
				missing = append(missing, key)
				continue
			}
			if p, err = decodePart(key, value); err != nil {
				return nil, nil, err
			}
		}
		parts[key] = p
	}
	if len(missing) > 0 {
		for key, p := range parts {
			a.parts[key] = p
		}
		return nil, missing, nil
	}
	a.parts = parts
	return merge(h, parts), nil, nil
}

// decodePart decodes a stored part.
func decodePart(key string, value []byte) (*Part, error) {
	var p Part
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, ErrCorrupt.New("%s: %v", key, err)
	}
	return &p, nil
}

// merge returns the configuration that consists of the given parts.
func merge(h Head, parts map[string]*Part) *Config {
	c := New()
	c.Revision = h.Revision
	contracts := 0
	for _, p := range parts {
		contracts += len(p.Contracts)
	}
	// Most items are contracts; allocating their maps at full size avoids
	// repeated growth.
	c.Contracts = make(map[string]contract.Contract, contracts)
	c.Versions.Contracts = make(map[string]uint64, contracts)
	for _, p := range parts {
		unpack(p.Services, c.Services, c.Versions.Services)
		unpack(p.Routes, c.Routes, c.Versions.Routes)
		unpack(p.Contracts, c.Contracts, c.Versions.Contracts)
		for name, n := range p.FixedShards {
			c.FixedShards[name] = n
		}
	}
	return c
}

// unpack adds stored items to values and versions.
func unpack[T any](items map[string]Item[T], values map[string]T, versions map[string]uint64) {
	for name, i := range items {
		values[name] = i.Value
		versions[name] = i.Version
	}
}

// pack returns the stored form of the items that belong to a part.
func pack[T any](values map[string]T, versions map[string]uint64, belongs func(name string) bool) map[string]Item[T] {
	items := map[string]Item[T]{}
	for name, v := range values {
		if belongs(name) {
			items[name] = Item[T]{Version: versions[name], Value: v}
		}
	}
	return items
}

// part returns the part of the given name; ok is false if it is empty.
func (c *Config) part(name string) (p Part, ok bool) {
	if name == RoutingPart {
		all := func(string) bool { return true }
		p.Services = pack(c.Services, c.Versions.Services, all)
		p.Routes = pack(c.Routes, c.Versions.Routes, all)
		p.FixedShards = c.FixedShards
		return p, len(p.Services)+len(p.Routes)+len(p.FixedShards) > 0
	}
	p.Contracts = pack(c.Contracts, c.Versions.Contracts, func(customer string) bool {
		return ContractPart(customer) == name
	})
	return p, len(p.Contracts) > 0
}
