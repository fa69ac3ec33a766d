package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/platform"
)

// AnyRevision lets a change be made on whatever revision is present.
const AnyRevision = ^uint64(0)

// Bounds of the editor.
const (
	// maxAttempts bounds how often a change is made again because another one
	// was accepted first.
	maxAttempts = 100
	// maxLoads bounds how often a head is read whose parts are missing.
	maxLoads = 6
	// raceBackoffSteps bounds the backoff after a lost race: the platform
	// answers then, so long waits would only delay the operator.
	raceBackoffSteps = 3
	// partsParallel is how many parts are read or written at a time.
	partsParallel = 8
	// keepSuperseded is for how many revisions a superseded part is kept for
	// readers that are still fetching it.
	keepSuperseded = 16
)

// Editor reads and changes the configuration in the platform. It is safe for
// concurrent use.
type Editor struct {
	store   platform.Store
	backoff platform.Backoff
	newID   func() string
	// parallel is how many parts are read or written at a time.
	parallel int

	mu sync.Mutex
	// values caches parts of the last load; they never change.
	values map[string][]byte
}

// Snapshot is one revision with the head that it was read from.
type Snapshot struct {
	Config *Config
	Head   Head
	// version is the platform's version of the head, 0 if there is none.
	version uint64
}

// NewEditor returns an editor of the configuration in a store.
func NewEditor(store platform.Store) *Editor {
	return &Editor{
		store:    store,
		backoff:  platform.DefaultBackoff(),
		newID:    newChangeID,
		parallel: partsParallel,
	}
}

// newChangeID returns an id that no other change has.
func newChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// Load reads the present configuration; a platform without one has revision 0.
// Errors are the platform's, or ErrCorrupt.
func (e *Editor) Load(ctx context.Context) (Snapshot, error) {
	for attempt := 1; ; attempt++ {
		s, missing, err := e.loadOnce(ctx)
		if err != nil || len(missing) == 0 {
			return s, err
		}
		// A part that is gone was superseded after the head was read: the next
		// read finds a newer head.
		if attempt == maxLoads {
			return Snapshot{}, ErrCorrupt.New("revision %d: part %s is missing", s.Head.Revision, missing[0])
		}
		if err := e.backoff.Sleep(ctx, attempt); err != nil {
			return Snapshot{}, platform.ErrUnavailable.Wrap(err)
		}
	}
}

// loadOnce reads the head and its parts.
func (e *Editor) loadOnce(ctx context.Context) (Snapshot, []string, error) {
	o, err := e.store.Get(ctx, cluster.ConfigHeadKey)
	if platform.ErrNotFound.Has(err) {
		return Snapshot{Config: New()}, nil, nil
	}
	if err != nil {
		return Snapshot{}, nil, err
	}
	h, err := DecodeHead(o.Value)
	if err != nil {
		return Snapshot{}, nil, err
	}
	values, err := e.fetch(ctx, h)
	if err != nil {
		return Snapshot{}, nil, err
	}
	cfg, missing, err := Assemble(h, func(key string) ([]byte, bool) {
		v, ok := values[key]
		return v, ok
	})
	return Snapshot{Config: cfg, Head: h, version: o.Version}, missing, err
}

// fetch returns the values of a head's parts, but for those that are gone.
func (e *Editor) fetch(ctx context.Context, h Head) (map[string][]byte, error) {
	e.mu.Lock()
	cached := e.values
	e.mu.Unlock()
	var mu sync.Mutex
	values := map[string][]byte{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(e.parallel)
	for _, name := range sortedKeys(h.Parts) {
		key := h.Parts[name]
		if v, ok := cached[key]; ok {
			mu.Lock()
			values[key] = v
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			o, err := e.store.Get(ctx, key)
			if platform.ErrNotFound.Has(err) {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			values[key] = o.Value
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.values = values
	e.mu.Unlock()
	return values, nil
}

// Apply makes a change on the expected revision, or on the present one if that
// is AnyRevision; then it is made again if another one was accepted first. It
// returns once the change is surely accepted, or surely not. Errors:
// ErrConflict and ErrInvalid (nothing changed), what edit returns (nothing
// changed), platform.ErrUnavailable (nothing changed), and ErrUnknown if the
// context ended before a lost answer could be settled.
func (e *Editor) Apply(ctx context.Context, expected uint64, edit Edit) (Accepted, error) {
	for attempt := 1; ; attempt++ {
		s, err := e.Load(ctx)
		if err != nil {
			return Accepted{}, err
		}
		if expected != AnyRevision && s.Config.Revision != expected {
			return Accepted{}, ErrConflict.Wrap(&ConflictError{Item: "configuration", Expected: expected, Present: s.Config.Revision})
		}
		accepted, err := e.applyTo(ctx, s, edit)
		if !errors.Is(err, errHeadMoved) {
			return accepted, err
		}
		if attempt == maxAttempts {
			return Accepted{}, platform.ErrUnavailable.New("other changes were accepted first %d times", maxAttempts)
		}
		if err := e.backoff.Sleep(ctx, min(attempt, raceBackoffSteps)); err != nil {
			return Accepted{}, platform.ErrUnavailable.Wrap(err)
		}
	}
}

// errHeadMoved says that the head was updated after it was read, and that this
// change was surely not accepted.
var errHeadMoved = errors.New("the head has moved")

// applyTo makes a change on a snapshot.
func (e *Editor) applyTo(ctx context.Context, s Snapshot, edit Edit) (Accepted, error) {
	next := s.Config.Clone()
	if err := edit(next); err != nil {
		return Accepted{}, err
	}
	next.Revision = s.Config.Revision + 1
	changed := stamp(s.Config, next)
	if len(changed) == 0 {
		return s.Head.Accepted, nil
	}
	if err := ValidateChange(s.Config, next); err != nil {
		return Accepted{}, err
	}
	h := nextHead(s.Head, e.newID())
	values, err := encodeParts(&h, next, changed)
	if err != nil {
		return Accepted{}, err
	}
	if err := e.writeParts(ctx, values); err != nil {
		e.discard(ctx, values)
		return Accepted{}, err
	}
	if err := e.writeHead(ctx, s.version, h); err != nil {
		if !ErrUnknown.Has(err) {
			e.discard(ctx, values)
		}
		return Accepted{}, err
	}
	e.removeSuperseded(ctx, s.Head, h)
	return h.Accepted, nil
}

// nextHead returns the head of the following revision, with the same parts.
func nextHead(prev Head, id string) Head {
	h := Head{
		Accepted: Accepted{Revision: prev.Revision + 1, ChangeID: id},
		Parts:    map[string]string{},
		Sweeps:   prev.Sweeps,
	}
	for name, key := range prev.Parts {
		h.Parts[name] = key
	}
	h.Recent = append([]Accepted{h.Accepted}, prev.Recent...)
	h.Recent = h.Recent[:min(len(h.Recent), RecentChanges)]
	for _, p := range prev.Superseded {
		if p.Revision+keepSuperseded > h.Revision {
			h.Superseded = append(h.Superseded, p)
		}
	}
	return h
}

// encodeParts names the changed parts in the head and returns their values by
// key.
func encodeParts(h *Head, next *Config, changed map[string]bool) (map[string][]byte, error) {
	values := map[string][]byte{}
	for _, name := range sortedKeys(changed) {
		if old, ok := h.Parts[name]; ok {
			h.Superseded = append(h.Superseded, SupersededPart{Key: old, Revision: h.Revision})
			delete(h.Parts, name)
		}
		p, ok := next.part(name)
		if !ok {
			continue
		}
		value, err := json.Marshal(p)
		if err != nil {
			return nil, ErrInvalid.Wrap(err)
		}
		if len(value) > platform.MaxValueBytes {
			expected := fmt.Sprintf("at most %d bytes", platform.MaxValueBytes)
			problem := contract.NewProblem("part "+name, expected, len(value))
			return nil, ErrInvalid.Wrap(&InvalidError{Problems: []contract.Problem{problem}})
		}
		h.Parts[name] = partKey(name, h.ChangeID)
		values[h.Parts[name]] = value
	}
	return values, nil
}

// writeParts writes all parts of a change; nothing refers to them yet.
func (e *Editor) writeParts(ctx context.Context, values map[string][]byte) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(e.parallel)
	for _, key := range sortedKeys(values) {
		value := values[key]
		group.Go(func() error {
			_, err := platform.PutSettled(ctx, e.store, e.backoff, key, 0, value, func(v []byte) string { return string(v) })
			if platform.ErrUnknown.Has(err) {
				// The head is not written, so the change is surely not accepted.
				return platform.ErrUnavailable.Wrap(errors.New(err.Error()))
			}
			return err
		})
	}
	return group.Wait()
}

// writeHead accepts the change, or returns errHeadMoved.
func (e *Editor) writeHead(ctx context.Context, expected uint64, h Head) error {
	value := cluster.Encode(h)
	_, err := e.store.Put(ctx, cluster.ConfigHeadKey, expected, value)
	if platform.ErrConflict.Has(err) {
		return errHeadMoved
	}
	if !platform.ErrUnknown.Has(err) {
		return err
	}
	return e.settleHead(ctx, expected, h, err)
}

// settleHead finds out what became of a head whose answer was lost.
func (e *Editor) settleHead(ctx context.Context, expected uint64, h Head, lost error) error {
	value := cluster.Encode(h)
	for failures := 1; ; failures++ {
		if e.backoff.Sleep(ctx, failures) != nil {
			return ErrUnknown.Wrap(&UnknownError{Revision: h.Revision, ChangeID: h.ChangeID, Cause: lost})
		}
		outcome, o, err := platform.Settle(ctx, e.store, cluster.ConfigHeadKey, expected, headChangeID, h.ChangeID)
		if err != nil {
			continue
		}
		switch outcome {
		case platform.Applied:
			return nil
		case platform.Superseded:
			return acceptedBefore(o.Value, h)
		case platform.Open:
			// The first copy may still arrive; only one of the two can take
			// effect. A conflict is settled by the next read.
			if _, err := e.store.Put(ctx, cluster.ConfigHeadKey, expected, value); err == nil {
				return nil
			}
		}
	}
}

// headChangeID returns the change id of a stored head, or "".
func headChangeID(value []byte) string {
	h, err := DecodeHead(value)
	if err != nil {
		return ""
	}
	return h.ChangeID
}

// acceptedBefore tells from a later head whether h was accepted before it.
func acceptedBefore(value []byte, h Head) error {
	later, err := DecodeHead(value)
	if err != nil {
		return ErrUnknown.Wrap(&UnknownError{Revision: h.Revision, ChangeID: h.ChangeID, Cause: err})
	}
	if later.Revision < h.Revision {
		return errHeadMoved
	}
	i := slices.IndexFunc(later.Recent, func(a Accepted) bool { return a.Revision == h.Revision })
	if i < 0 {
		cause := fmt.Errorf("revision %d remembers only its last %d changes", later.Revision, len(later.Recent))
		return ErrUnknown.Wrap(&UnknownError{Revision: h.Revision, ChangeID: h.ChangeID, Cause: cause})
	}
	if later.Recent[i].ChangeID == h.ChangeID {
		return nil
	}
	return errHeadMoved
}
