package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/timeline"
)

// Error classes of the client.
var (
	// ErrUnreachable means that no answer arrived; the request may have been
	// carried out.
	ErrUnreachable = errs.Class("node unreachable")
	// ErrRefused means that the node answered with a refusal.
	ErrRefused = errs.Class("node refused")
	// ErrNoMember means that the platform has no such member.
	ErrNoMember = errs.Class("no such member")
)

// maxConcurrentCalls is the maximum number of calls in flight per command.
const maxConcurrentCalls = 64

// Client calls nodes at their operator endpoints.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client. The timeout applies to the call to each node.
func NewClient(timeout time.Duration) *Client {
	// The transport uses no proxy and no keep-alive connection, so that an
	// answer always comes from the process that listens now.
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{http: &http.Client{Transport: transport}, timeout: timeout}
}

// Answer is the answer of one member, or the error of the call.
type Answer[T any] struct {
	Member cluster.Member `json:"member"`
	Value  T              `json:"value"`
	Err    error          `json:"-"`
}

// Members lists the member objects of the platform, sorted by name. It omits
// members that are gone unless all is true.
func Members(ctx context.Context, store platform.Store, all bool) ([]cluster.Member, error) {
	objects, err := store.List(ctx, cluster.MemberPrefix)
	if err != nil {
		return nil, err
	}
	var list []cluster.Member
	for _, o := range objects {
		var m cluster.Member
		if err := json.Unmarshal(o.Value, &m); err != nil {
			return nil, fmt.Errorf("member object %s: %w", o.Key, err)
		}
		if all || !m.State.Gone() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b cluster.Member) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

// Member reads the member object with the given name from the platform.
func Member(ctx context.Context, store platform.Store, name string) (cluster.Member, error) {
	var m cluster.Member
	o, err := store.Get(ctx, cluster.MemberKey(name))
	if platform.ErrNotFound.Has(err) {
		return m, ErrNoMember.New("%s", name)
	}
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(o.Value, &m)
}

// StatusAll requests the status of each member, in parallel.
func (c *Client) StatusAll(ctx context.Context, members []cluster.Member) []Answer[Status] {
	return askAll(ctx, members, c.Status)
}

// EventsAll requests the events that match the filter from each member, in
// parallel.
func (c *Client) EventsAll(ctx context.Context, members []cluster.Member, f timeline.Filter) []Answer[EventList] {
	return askAll(ctx, members, func(ctx context.Context, addr string) (EventList, error) {
		return c.Events(ctx, addr, f)
	})
}

// Status requests the status of the node at an operator address.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	var s Status
	err := c.call(ctx, requestTo(addr).Get(PathStatus), &s)
	return s, err
}

// Events requests the events that match the filter from the node at an operator
// address.
func (c *Client) Events(ctx context.Context, addr string, f timeline.Filter) (EventList, error) {
	var list EventList
	path := PathEvents + "?" + queryFromFilter(f).Encode()
	err := c.call(ctx, requestTo(addr).Get(path), &list)
	return list, err
}

// Drain starts the planned stop of the node at an operator address.
func (c *Client) Drain(ctx context.Context, addr string) error {
	return c.call(ctx, requestTo(addr).Post(PathDrain), &Reply{})
}

// Evict asks the node at an operator address to evict a member.
func (c *Client) Evict(ctx context.Context, addr string, request EvictRequest) error {
	return c.call(ctx, requestTo(addr).Post(PathEvict).BodyJSON(request), &Reply{})
}

// requestTo returns a request builder for an operator address.
func requestTo(addr string) *sling.Sling { return sling.New().Base("http://" + addr) }

// call sends a request and decodes the answer into out.
func (c *Client) call(ctx context.Context, s *sling.Sling, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	var refusal Reply
	resp, err := sling.New().Client(c.http).Do(req.WithContext(ctx), out, &refusal)
	if err != nil {
		return ErrUnreachable.Wrap(shortenTimeout(err))
	}
	if resp.StatusCode/100 != 2 {
		return ErrRefused.New("%s", refusal.Error)
	}
	return nil
}

// shortenTimeout replaces the error of an expired deadline by a short one: the
// text of the HTTP client does not name the cause.
func shortenTimeout(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.New("no answer within the timeout")
	}
	return err
}

// askAll runs call for each member in parallel and returns the answers in the
// order of the members.
func askAll[T any](ctx context.Context, members []cluster.Member, call func(context.Context, string) (T, error)) []Answer[T] {
	answers := make([]Answer[T], len(members))
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			v, err := call(ctx, m.OperatorAddr)
			answers[i] = Answer[T]{Member: m, Value: v, Err: err}
		})
	}
	wg.Wait()
	return answers
}
