package backend

import (
	"container/list"
	"encoding/binary"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// Bounds of the idempotency table.
const (
	// Defaults of IdempotencyLimits.
	DefaultIdempotencyEntries = 100_000
	DefaultIdempotencyAge     = 10 * time.Minute
	DefaultClockBound         = 250 * time.Millisecond
	// keysPerCustomer is the part of the entries that one customer may use, as
	// a divisor.
	keysPerCustomer = 4
	tableStripes    = 32
	// maxKeptAnswer is the size in bytes of the largest answer that is kept,
	// and maxKeptTotal bounds all kept answers.
	maxKeptAnswer = 16 << 10
	maxKeptTotal  = 16 << 20
)

// IdempotencyLimits bound what a gate remembers of idempotency keys.
type IdempotencyLimits struct {
	// Entries is how many keys are remembered.
	Entries int
	// Age is how long a key is remembered. One that is older and not in the
	// table gets outcome unknown.
	Age time.Duration
	// ClockBound is how far any two clocks of callers and nodes may be apart.
	ClockBound time.Duration
}

func (l IdempotencyLimits) withDefaults() IdempotencyLimits {
	if l.Entries == 0 {
		l.Entries = DefaultIdempotencyEntries
	}
	if l.Age == 0 {
		l.Age = DefaultIdempotencyAge
	}
	if l.ClockBound == 0 {
		l.ClockBound = DefaultClockBound
	}
	return l
}

// idempotencyID names one use of a key. The unit is always the shard, so that a
// record is found whether the key is reached through its shard or a pin, and
// under any later epoch: what ran here ran.
type idempotencyID struct {
	unit     cluster.Unit
	customer string
	key      uuid.UUID
}

// record is what is remembered of a key.
type record struct {
	id idempotencyID
	// fingerprint tells whether a repetition is of the same request.
	fingerprint uint64
	expires     time.Time
	// place is the record's element in its stripe's order.
	place *list.Element
	// done is closed when the first run has ended; the fields below are set
	// before that and not changed after it.
	done chan struct{}
	// refusal is the result of a run that was not answered.
	refusal *result.Error
	// kept is the whole answer, or nil if it was not kept.
	kept *keptAnswer
}

type keptAnswer struct {
	head *wire.ResponseHead
	body []byte
}

func (k *keptAnswer) size() int64 { return int64(proto.Size(k.head) + len(k.body)) }

// idempotencyTable remembers the keys of requests that were let through, in
// bounded memory. What does not fit is refused, never run a second time.
type idempotencyTable struct {
	limits    IdempotencyLimits
	stripes   [tableStripes]tableStripe
	keptBytes atomic.Int64
}

type tableStripe struct {
	mu      sync.Mutex
	records map[idempotencyID]*record
	// order holds the records by age, oldest first.
	order     *list.List
	customers map[string]int
	limit     int
}

func newIdempotencyTable(l IdempotencyLimits) *idempotencyTable {
	t := &idempotencyTable{limits: l.withDefaults()}
	for i := range t.stripes {
		t.stripes[i].order = list.New()
		t.stripes[i].records = map[idempotencyID]*record{}
		t.stripes[i].customers = map[string]int{}
		t.stripes[i].limit = max(t.limits.Entries/tableStripes, 1)
	}
	return t
}

func (t *idempotencyTable) stripe(id idempotencyID) *tableStripe {
	return &t.stripes[xxhash.Sum64(id.key[:])%tableStripes]
}

// begin returns the record of id. The second result is true if it is new: the
// caller then runs the request and ends with finish. A key that is not
// remembered is refused if past says that it may have run before.
func (t *idempotencyTable) begin(id idempotencyID, fingerprint uint64, now time.Time, past keyPast) (*record, bool, *result.Error) {
	s := t.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(t, now)
	if r := s.records[id]; r != nil {
		if r.fingerprint != fingerprint {
			return nil, false, result.Errorf(result.IdempotencyKeyBad, "The idempotency key was used for another request.")
		}
		return r, false, nil
	}
	if past.mayHaveRun(id) {
		return nil, false, result.New(result.IdempotencyKeyTooOld)
	}
	if s.order.Len() >= s.limit || s.customers[id.customer] >= max(s.limit/keysPerCustomer, 1) {
		return nil, false, result.New(result.IdempotencyTableFull)
	}
	r := &record{id: id, fingerprint: fingerprint, expires: now.Add(t.limits.Age), done: make(chan struct{})}
	s.records[id] = r
	r.place = s.order.PushBack(r)
	s.customers[id.customer]++
	return r, true, nil
}

// finish records how the first run ended. A request that did not run is
// forgotten, so that it can be sent again.
func (t *idempotencyTable) finish(r *record, refusal *result.Error, kept *keptAnswer) {
	r.refusal = refusal
	if refusal == nil && kept != nil {
		if t.keptBytes.Add(kept.size()) <= maxKeptTotal {
			r.kept = kept
		} else {
			t.keptBytes.Add(-kept.size())
		}
	}
	if refusal != nil && refusal.Kind() == result.NotRun {
		s := t.stripe(r.id)
		s.mu.Lock()
		s.remove(r)
		s.mu.Unlock()
	}
	close(r.done)
}

// expire forgets records that are old enough. The lock is held. A run that is
// still under way is not forgotten: it is bounded by its deadline.
func (s *tableStripe) expire(t *idempotencyTable, now time.Time) {
	for s.order.Len() > 0 {
		r := s.order.Front().Value.(*record)
		if !now.After(r.expires) {
			return
		}
		select {
		case <-r.done:
		default:
			return
		}
		s.remove(r)
		if r.kept != nil {
			t.keptBytes.Add(-r.kept.size())
		}
	}
}

// remove forgets a record. The lock is held.
func (s *tableStripe) remove(r *record) {
	delete(s.records, r.id)
	s.order.Remove(r.place)
	s.customers[r.id.customer]--
	if s.customers[r.id.customer] == 0 {
		delete(s.customers, r.id.customer)
	}
}

// keyTime returns the time in a UUIDv7.
func keyTime(id uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// parseKey checks an idempotency key. No owner lets a key through that is more
// than the clock bound ahead of its own clock (see begin), so one that is more
// than twice the bound ahead of this clock has run nowhere.
func parseKey(text string, now time.Time, clockBound time.Duration) (uuid.UUID, *result.Error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return id, result.Errorf(result.IdempotencyKeyBad, "The idempotency key is not a UUIDv7.")
	}
	if keyTime(id).After(now.Add(2 * clockBound)) {
		return id, result.Errorf(result.IdempotencyKeyBad, "The idempotency key lies in the future; the caller's clock may be wrong.")
	}
	return id, nil
}

// fingerprint covers what makes two uses of a key the same request. Bodies are
// not held, so only their length counts.
func fingerprint(head *wire.RequestHead) uint64 {
	d := xxhash.New()
	for _, s := range []string{head.GetMethod(), head.GetPath(), strconv.FormatInt(head.GetContentLength(), 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// idempotentMethod reports whether running a request twice has no further
// effect.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
