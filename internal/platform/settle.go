package platform

import "context"

// Outcome is what reading an object back tells about a write whose answer was
// lost.
type Outcome int

// The outcomes of Settle.
const (
	// Applied means that the object holds the change.
	Applied Outcome = iota + 1
	// Open means that the object still has the version that the write
	// expected: the request may yet arrive. Sending the same write again is
	// safe, as only one of the two can take effect.
	Open
	// Superseded means that the object has another change on a version that
	// the write did not expect. The write will not take effect any more; it may
	// have done so before it was overwritten.
	Superseded
)

// Settle reads an object back after a write that expected the given version
// and carried the given change id, and says what became of the write. The
// object is the present one, without a version if there is none.
func Settle(ctx context.Context, s Store, key string, expected uint64, changeID func(value []byte) string, id string) (Outcome, Object, error) {
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
		return Open, o, nil
	}
	return Superseded, o, nil
}

// PutSettled writes an object and settles a lost answer: it reads the object
// back and, while the write may still be under way, sends the same write again.
// It returns ErrConflict if the object has another change, which may have
// overwritten this one, and ErrUnknown only if the context ended first.
func PutSettled(ctx context.Context, s Store, b Backoff, key string, expected uint64, value []byte, changeID func([]byte) string) (uint64, error) {
	id := changeID(value)
	version, err := s.Put(ctx, key, expected, value)
	if !ErrUnknown.Has(err) {
		return version, err
	}
	lost := err
	for failures := 1; ; failures++ {
		if b.Sleep(ctx, failures) != nil {
			return 0, lost
		}
		outcome, o, err := Settle(ctx, s, key, expected, changeID, id)
		if err != nil {
			continue
		}
		switch outcome {
		case Applied:
			return o.Version, nil
		case Superseded:
			return 0, ErrConflict.New("%s: expected version %d, present version %d", key, expected, o.Version)
		case Open:
			// A conflict here may be with the first copy of this very write, so
			// only a success ends the loop; the next read tells the rest.
			if version, err := s.Put(ctx, key, expected, value); err == nil {
				return version, nil
			}
		}
	}
}
