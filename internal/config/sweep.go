package config

import (
	"context"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
)

// cleanupTimeout bounds the removal of unused parts after a change. Remaining
// parts are harmless and are removed by the next Sweep.
const cleanupTimeout = time.Second

// removeUnaccepted removes the parts of a change that was certainly not
// accepted. It reads each part first, because the version is unknown if the
// answer to the write was lost.
func (e *Editor) removeUnaccepted(ctx context.Context, values map[string][]byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, key := range sortedKeys(values) {
		if err := e.remove(ctx, key); platform.ErrUnavailable.Has(err) {
			return
		}
	}
}

// removeSuperseded removes the parts that the new head no longer lists: they
// were superseded at least supersededRetentionRevisions revisions ago.
func (e *Editor) removeSuperseded(ctx context.Context, prev, next Head) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
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

// remove deletes an object regardless of its version.
func (e *Editor) remove(ctx context.Context, key string) error {
	o, err := e.store.Get(ctx, key)
	if err != nil {
		return err
	}
	return e.store.Delete(ctx, key, o.Version)
}

// Sweep removes the parts of changes that were not accepted and returns their
// number. It lists the parts and then updates the head without a new revision. A
// change that wrote one of the listed parts has read the head before this
// update, so it can't be accepted any more and its parts are unused.
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
