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

// AnyRevision makes Apply accept any current revision.
const AnyRevision = ^uint64(0)

// Limits of the editor.
const (
	// maxApplyAttempts is the maximum number of attempts to make a change while
	// other changes are accepted first.
	maxApplyAttempts = 100
	// maxLoadAttempts is the maximum number of times that the head is read while
	// parts of it are missing.
	maxLoadAttempts = 6
	// maxConflictBackoffSteps limits the growth of the backoff after another
	// change was accepted first: the platform is available then, so long waits
	// would only delay the operator.
	maxConflictBackoffSteps = 3
	// partConcurrency is the maximum number of parts read or written at a time.
	partConcurrency = 8
	// supersededRetentionRevisions is the number of revisions for which a
	// superseded part is kept for nodes that are still reading it.
	supersededRetentionRevisions = 16
)

// Editor reads and changes the configuration in the platform. It is safe for
// concurrent use.
type Editor struct {
	store   platform.Store
	backoff platform.Backoff
	newID   func() string
	// concurrency is the maximum number of parts read or written at a time.
	concurrency int

	mu sync.Mutex
	// partCache holds the parts of the last load by key. Parts are immutable.
	partCache map[string][]byte
}

// Snapshot is one revision with the head that it was read from.
type Snapshot struct {
	Config *Config
	Head   Head
	// version is the platform's version of the head; 0 if there is none.
	version uint64
}

// NewEditor returns an editor of the configuration in the store.
func NewEditor(store platform.Store) *Editor {
	return &Editor{
		store:       store,
		backoff:     platform.DefaultBackoff(),
		newID:       newChangeID,
		concurrency: partConcurrency,
	}
}

// newChangeID returns a unique change id.
func newChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// Load reads the current configuration; it has revision 0 if the platform has
// none. It returns the platform's errors or ErrCorrupt.
func (e *Editor) Load(ctx context.Context) (Snapshot, error) {
	for attempt := 1; ; attempt++ {
		s, missing, err := e.loadOnce(ctx)
		if err != nil || len(missing) == 0 {
			return s, err
		}
		// A missing part was superseded and removed after the head was read; the
		// next attempt reads a newer head.
		if attempt == maxLoadAttempts {
			return Snapshot{}, ErrCorrupt.New("revision %d: part %s is missing", s.Head.Revision, missing[0])
		}
		if err := e.backoff.Sleep(ctx, attempt); err != nil {
			return Snapshot{}, platform.ErrUnavailable.Wrap(err)
		}
	}
}

// loadOnce reads the head and its parts. It returns the keys of missing parts.
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
	values, err := e.fetchParts(ctx, h)
	if err != nil {
		return Snapshot{}, nil, err
	}
	cfg, missing, err := Assemble(h, func(key string) ([]byte, bool) {
		v, ok := values[key]
		return v, ok
	})
	return Snapshot{Config: cfg, Head: h, version: o.Version}, missing, err
}

// fetchParts returns the values of the head's parts by key, without the missing
// ones.
func (e *Editor) fetchParts(ctx context.Context, h Head) (map[string][]byte, error) {
	e.mu.Lock()
	cached := e.partCache
	e.mu.Unlock()
	var mu sync.Mutex
	values := map[string][]byte{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(e.concurrency)
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
	e.partCache = values
	e.mu.Unlock()
	return values, nil
}

// Apply makes a change to the expected revision. With AnyRevision it makes the
// change to the current revision, and retries if another change is accepted
// first. It returns once the change is known to be accepted or not to be
// accepted.
//
// If it returns ErrConflict, ErrInvalid, platform.ErrUnavailable or an error of
// edit, nothing was changed. ErrUnknown means that the context ended before the
// outcome could be determined after a lost answer.
func (e *Editor) Apply(ctx context.Context, expected uint64, edit Edit) (Accepted, error) {
	for attempt := 1; ; attempt++ {
		s, err := e.Load(ctx)
		if err != nil {
			return Accepted{}, err
		}
		if expected != AnyRevision && s.Config.Revision != expected {
			return Accepted{}, ErrConflict.Wrap(&ConflictError{Item: "configuration", Expected: expected, Current: s.Config.Revision})
		}
		accepted, err := e.applyTo(ctx, s, edit)
		if !errors.Is(err, errHeadChanged) {
			return accepted, err
		}
		if attempt == maxApplyAttempts {
			return Accepted{}, platform.ErrUnavailable.New(
				"change not accepted after %d attempts: other changes were accepted first", maxApplyAttempts)
		}
		if err := e.backoff.Sleep(ctx, min(attempt, maxConflictBackoffSteps)); err != nil {
			return Accepted{}, platform.ErrUnavailable.Wrap(err)
		}
	}
}

// errHeadChanged means that the head was updated after it was read, and that
// this change was certainly not accepted.
var errHeadChanged = errors.New("configuration head changed since it was read")

// applyTo makes a change to a snapshot.
func (e *Editor) applyTo(ctx context.Context, s Snapshot, edit Edit) (Accepted, error) {
	next := s.Config.Clone()
	if err := edit(next); err != nil {
		return Accepted{}, err
	}
	next.Revision = s.Config.Revision + 1
	changed := assignVersions(s.Config, next)
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
		e.removeUnaccepted(ctx, values)
		return Accepted{}, err
	}
	if err := e.writeHead(ctx, s.version, h); err != nil {
		if !ErrUnknown.Has(err) {
			e.removeUnaccepted(ctx, values)
		}
		return Accepted{}, err
	}
	e.removeSuperseded(ctx, s.Head, h)
	return h.Accepted, nil
}

// nextHead returns the head of the next revision, still with the previous parts.
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
	h.Recent = h.Recent[:min(len(h.Recent), MaxRecentChanges)]
	for _, p := range prev.Superseded {
		if p.Revision+supersededRetentionRevisions > h.Revision {
			h.Superseded = append(h.Superseded, p)
		}
	}
	return h
}

// encodeParts sets the keys of the changed parts in the head and returns their
// values by key.
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

// writeParts writes the parts of a change. No head refers to them yet.
func (e *Editor) writeParts(ctx context.Context, values map[string][]byte) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(e.concurrency)
	for _, key := range sortedKeys(values) {
		value := values[key]
		group.Go(func() error {
			_, err := platform.PutAndResolve(ctx, e.store, e.backoff, key, 0, value, func(v []byte) string { return string(v) })
			if platform.ErrUnknown.Has(err) {
				// The head has not been written, so the change is certainly not
				// accepted.
				return platform.ErrUnavailable.Wrap(errors.New(err.Error()))
			}
			return err
		})
	}
	return group.Wait()
}

// writeHead writes the head, which accepts the change. It returns errHeadChanged
// if another change was accepted first.
func (e *Editor) writeHead(ctx context.Context, expected uint64, h Head) error {
	value := cluster.Encode(h)
	_, err := e.store.Put(ctx, cluster.ConfigHeadKey, expected, value)
	if platform.ErrConflict.Has(err) {
		return errHeadChanged
	}
	if !platform.ErrUnknown.Has(err) {
		return err
	}
	return e.resolveHeadWrite(ctx, expected, h, err)
}

// resolveHeadWrite determines whether a head was written although the answer to
// the write was lost; writeErr is the error of that write.
func (e *Editor) resolveHeadWrite(ctx context.Context, expected uint64, h Head, writeErr error) error {
	value := cluster.Encode(h)
	for failures := 1; ; failures++ {
		if e.backoff.Sleep(ctx, failures) != nil {
			return ErrUnknown.Wrap(&UnknownError{Revision: h.Revision, ChangeID: h.ChangeID, Cause: writeErr})
		}
		outcome, o, err := platform.ResolveWrite(ctx, e.store, cluster.ConfigHeadKey, expected, headChangeID, h.ChangeID)
		if err != nil {
			continue
		}
		switch outcome {
		case platform.Applied:
			return nil
		case platform.Superseded:
			return checkAccepted(o.Value, h)
		case platform.Pending:
			// The first request may still arrive, but only one of the two can
			// take effect. The next read resolves a conflict.
			if _, err := e.store.Put(ctx, cluster.ConfigHeadKey, expected, value); err == nil {
				return nil
			}
		}
	}
}

// headChangeID returns the change id of a stored head; "" if it can't be
// decoded.
func headChangeID(value []byte) string {
	h, err := DecodeHead(value)
	if err != nil {
		return ""
	}
	return h.ChangeID
}

// checkAccepted returns nil if h was accepted before the given later head, and
// errHeadChanged if another change took its revision.
func checkAccepted(value []byte, h Head) error {
	later, err := DecodeHead(value)
	if err != nil {
		return ErrUnknown.Wrap(&UnknownError{Revision: h.Revision, ChangeID: h.ChangeID, Cause: err})
	}
	if later.Revision < h.Revision {
		return errHeadChanged
	}
	i := slices.IndexFunc(later.Recent, func(a Accepted) bool { return a.Revision == h.Revision })
	if i < 0 {
		cause := fmt.Errorf("revision %d lists only the last %d changes", later.Revision, len(later.Recent))
		return ErrUnknown.Wrap(&UnknownError{Revision: h.Revision, ChangeID: h.ChangeID, Cause: cause})
	}
	if later.Recent[i].ChangeID == h.ChangeID {
		return nil
	}
	return errHeadChanged
}
