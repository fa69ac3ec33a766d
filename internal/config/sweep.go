package config

import (
	"context"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
)

// discardTimeout bounds the removal of parts that are not needed; what is left
// over does no harm and goes with the next Sweep.
const discardTimeout = time.Second

// discard removes the parts of a change that was surely not accepted. Their
// versions are not known if an answer was lost, so they are read first.
func (e *Editor) discard(ctx context.Context, values map[string][]byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	for _, key := range sortedKeys(values) {
		if err := e.remove(ctx, key); platform.ErrUnavailable.Has(err) {
			return
		}
	}
}

// removeSuperseded removes the parts that the new head no longer remembers:
// they were superseded many revisions ago.
func (e *Editor) removeSuperseded(ctx context.Context, prev, next Head) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	kept := map[string]bool{}
	for _, p := range next.Superseded {
		kept[p.Key] = true
	}
	for _, p := range prev.Superseded {
		if !kept[p.Key] {
			_ = e.remove(ctx, p.Key)
		}
	}
}

// remove deletes an object of any version.
func (e *Editor) remove(ctx context.Context, key string) error {
	o, err := e.store.Get(ctx, key)
	if err != nil {
		return err
	}
	return e.store.Delete(ctx, key, o.Version)
}

// Sweep removes parts that changes left behind without being accepted, and
// returns how many. It lists the parts, then updates the head without a new
// revision: a change that wrote a listed part read the head before that update
// and can't be accepted any more, so the part is surely unused.
func (e *Editor) Sweep(ctx context.Context) (int, error) {
	parts, err := e.store.List(ctx, PartPrefix)
	if err != nil {
		return 0, err
	}
	o, err := e.store.Get(ctx, cluster.ConfigHeadKey)
	if err != nil {
		return 0, err
	}
	h, err := DecodeHead(o.Value)
	if err != nil {
		return 0, err
	}
	h.Sweeps++
	if _, err := e.store.Put(ctx, cluster.ConfigHeadKey, o.Version, cluster.Encode(h)); err != nil {
		return 0, err
	}
	used := map[string]bool{}
	for _, key := range h.Parts {
		used[key] = true
	}
	for _, p := range h.Superseded {
		used[p.Key] = true
	}
	removed := 0
	for _, p := range parts {
		if used[p.Key] {
			continue
		}
		if err := e.store.Delete(ctx, p.Key, p.Version); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
