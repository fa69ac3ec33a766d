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

// Limits of the idempotency table.
const (
	// Defaults of IdempotencyLimits.
	DefaultIdempotencyEntries = 100_000
	DefaultIdempotencyAge     = 10 * time.Minute
	DefaultMaxClockSkew       = 250 * time.Millisecond
	// customerShareDivisor limits one customer to 1/customerShareDivisor of the
	// entries.
	customerShareDivisor = 4
	tableStripes         = 32
	// maxStoredResponseBytes limits the body and, separately, the encoded head
	// of a stored response. maxStoredTotalBytes limits the total size of all
	// stored responses.
	maxStoredResponseBytes = 16 << 10
	maxStoredTotalBytes    = 16 << 20
)

// IdempotencyLimits are the limits of the gate's table of idempotency keys.
type IdempotencyLimits struct {
	// MaxEntries is the maximum number of keys in the table.
	MaxEntries int
	// MaxAge is how long a key is remembered. The outcome of an older key that is
	// not in the table is unknown.
	MaxAge time.Duration
	// MaxClockSkew is the maximum difference between any two clocks of callers
	// and nodes.
	MaxClockSkew time.Duration
}

func (l IdempotencyLimits) withDefaults() IdempotencyLimits {
	if l.MaxEntries == 0 {
		l.MaxEntries = DefaultIdempotencyEntries
	}
	if l.MaxAge == 0 {
		l.MaxAge = DefaultIdempotencyAge
	}
	if l.MaxClockSkew == 0 {
		l.MaxClockSkew = DefaultMaxClockSkew
	}
	return l
}

// idempotencyID identifies one use of a key. The unit is always the shard, so
// that a record is found whether the key is reached through its shard or a pin,
// and also under a later epoch: a request that ran on this node must not run
// again in any of these cases.
type idempotencyID struct {
	unit     cluster.Unit
	customer string
	key      uuid.UUID
}

// idempotencyRecord is the stored state of an idempotency key.
type idempotencyRecord struct {
	id idempotencyID
	// fingerprint identifies the request, to detect reuse of the key for a
	// different one.
	fingerprint uint64
	expires     time.Time
	// element is the record's position in byAge of its stripe.
	element *list.Element
	// done is closed when the first execution has ended. The fields below are
	// set before that and do not change afterwards.
	done chan struct{}
	// refusal is the result of an execution without a complete response.
	refusal *result.Error
	// response is the complete response, or nil if it was not stored.
	response *storedResponse
}

type storedResponse struct {
	head *wire.ResponseHead
	body []byte
}

func (k *storedResponse) size() int64 { return int64(proto.Size(k.head) + len(k.body)) }

// idempotencyTable stores the idempotency keys of admitted requests in bounded
// memory. A key that does not fit is refused, because evicting another key could
// let a request run twice.
type idempotencyTable struct {
	limits      IdempotencyLimits
	stripes     [tableStripes]tableStripe
	storedBytes atomic.Int64
}

type tableStripe struct {
	mu      sync.Mutex
	records map[idempotencyID]*idempotencyRecord
	// byAge holds the records, oldest first.
	byAge              *list.List
	recordsPerCustomer map[string]int
	maxRecords         int
}

func newIdempotencyTable(l IdempotencyLimits) *idempotencyTable {
	t := &idempotencyTable{limits: l.withDefaults()}
	for i := range t.stripes {
		t.stripes[i].byAge = list.New()
		t.stripes[i].records = map[idempotencyID]*idempotencyRecord{}
		t.stripes[i].recordsPerCustomer = map[string]int{}
		t.stripes[i].maxRecords = max(t.limits.MaxEntries/tableStripes, 1)
	}
	return t
}

func (t *idempotencyTable) stripe(id idempotencyID) *tableStripe {
	return &t.stripes[xxhash.Sum64(id.key[:])%tableStripes]
}

// begin returns the record of id. The second result is true if the record is
// new: the caller must then execute the request and call finish. A key that is
// not in the table is refused if prior reports that it may have been executed.
func (t *idempotencyTable) begin(
	id idempotencyID, fingerprint uint64, now time.Time, prior priorUse,
) (*idempotencyRecord, bool, *result.Error) {
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
	if prior.mayHaveExecuted(id) {
		return nil, false, result.New(result.IdempotencyKeyTooOld)
	}
	if s.byAge.Len() >= s.maxRecords || s.recordsPerCustomer[id.customer] >= max(s.maxRecords/customerShareDivisor, 1) {
		return nil, false, result.New(result.IdempotencyTableFull)
	}
	r := &idempotencyRecord{id: id, fingerprint: fingerprint, expires: now.Add(t.limits.MaxAge), done: make(chan struct{})}
	s.records[id] = r
	r.element = s.byAge.PushBack(r)
	s.recordsPerCustomer[id.customer]++
	return r, true, nil
}

// finish stores the result of the first execution. The record of a request that
// did not run is removed, so that the request can be sent again.
func (t *idempotencyTable) finish(r *idempotencyRecord, refusal *result.Error, response *storedResponse) {
	r.refusal = refusal
	if refusal == nil && response != nil {
		if t.storedBytes.Add(response.size()) <= maxStoredTotalBytes {
			r.response = response
		} else {
			t.storedBytes.Add(-response.size())
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

// expire removes the records that have expired. The caller holds the lock.
// A record whose execution has not ended is kept; the execution ends at its
// deadline at the latest.
func (s *tableStripe) expire(t *idempotencyTable, now time.Time) {
	for s.byAge.Len() > 0 {
		rec := s.byAge.Front().Value.(*idempotencyRecord)
		if !now.After(rec.expires) {
			return
		}
		select {
		case <-rec.done:
		default:
			return
		}
		s.remove(rec)
		if rec.response != nil {
			t.storedBytes.Add(-rec.response.size())
		}
	}
}

// remove deletes a record. The caller holds the lock.
func (s *tableStripe) remove(r *idempotencyRecord) {
	delete(s.records, r.id)
	s.byAge.Remove(r.element)
	s.recordsPerCustomer[r.id.customer]--
	if s.recordsPerCustomer[r.id.customer] == 0 {
		delete(s.recordsPerCustomer, r.id.customer)
	}
}

// keyTime returns the timestamp of a UUIDv7.
func keyTime(id uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// parseIdempotencyKey parses and validates an idempotency key. No owner executes
// a request whose key is more than the clock bound ahead of the owner's clock
// (see begin), so a key that is more than twice the bound ahead of this node's
// clock cannot have been executed anywhere.
func parseIdempotencyKey(text string, now time.Time, clockBound time.Duration) (uuid.UUID, *result.Error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return id, result.Errorf(result.IdempotencyKeyBad, "The idempotency key is not a UUIDv7.")
	}
	if keyTime(id).After(now.Add(2 * clockBound)) {
		return id, result.Errorf(result.IdempotencyKeyBad, "The idempotency key lies in the future; the caller's clock may be wrong.")
	}
	return id, nil
}

// fingerprint hashes the parts of a request that must be equal in all uses of an
// idempotency key. Bodies are not stored, so only their length is included.
func fingerprint(head *wire.RequestHead) uint64 {
	d := xxhash.New()
	for _, s := range []string{head.GetMethod(), head.GetPath(), strconv.FormatInt(head.GetContentLength(), 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// idempotentMethod reports whether repeating a request with this method has no
// further effect.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
