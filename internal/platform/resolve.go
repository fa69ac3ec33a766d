package platform

import "context"

// Outcome is the result of a write whose response was lost, as determined by
// reading the object back.
type Outcome int

// The outcomes of a write whose response was lost.
const (
	// Applied means that the object contains the change.
	Applied Outcome = iota + 1
	// Pending means that the object still has the version that the write
	// expected: the request may still arrive. Sending the same write again is
	// safe, because only one of the two can take effect.
	Pending
	// Superseded means that the object contains another change and has a
	// version that the write did not expect. The write can no longer take
	// effect, but it may have done so before it was overwritten.
	Superseded
)

// ResolveWrite determines the outcome of a write that expected the given version and
// carried the given change id, by reading the object back. It also returns the
// current object, which has version 0 if the key does not exist.
func ResolveWrite(
	ctx context.Context, s Store, key string, expected uint64, changeID func(value []byte) string, id string,
) (Outcome, Object, error) {
	o, err := s.Get(ctx, key)
	if ErrNotFound.Has(err) {
		o = Object{Key: key}
	} else if err != nil {
		return 0, Object{}, err
	}
	if o.Version != 0 && changeID(o.Value) == id {
		return Applied, o, nil
	}
	if o.Version == expected {
		return Pending, o, nil
	}
	return Superseded, o, nil
}

// PutAndResolve writes an object. If the response is lost, it reads the object back
// to determine the outcome and, while the write may still arrive, sends the same
// write again. It returns ErrConflict if the object contains another change, which
// may have overwritten this one, and ErrUnknown only if the context ended first.
func PutAndResolve(
	ctx context.Context, s Store, b Backoff, key string, expected uint64, value []byte, changeID func([]byte) string,
) (uint64, error) {
	id := changeID(value)
	version, err := s.Put(ctx, key, expected, value)
	if !ErrUnknown.Has(err) {
		return version, err
	}
	unknownErr := err
	for failures := 1; ; failures++ {
		if b.Sleep(ctx, failures) != nil {
			return 0, unknownErr
		}
		outcome, o, err := ResolveWrite(ctx, s, key, expected, changeID, id)
		if err != nil {
			continue
		}
		switch outcome {
		case Applied:
			return o.Version, nil
		case Superseded:
			return 0, ErrConflict.New("%s: expected version %d, present version %d", key, expected, o.Version)
		case Pending:
			// A conflict here may be with the first copy of this same write, so
			// only a success ends the loop; otherwise the next read determines
			// the outcome.
			if version, err := s.Put(ctx, key, expected, value); err == nil {
				return version, nil
			}
		}
	}
}
