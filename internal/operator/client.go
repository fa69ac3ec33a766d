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
	// ErrUnreachable says that no answer came, so an order may have been
	// carried out.
	ErrUnreachable = errs.Class("node unreachable")
	// ErrRefused says that the node answered and refused.
	ErrRefused = errs.Class("node refused")
	// ErrNoMember says that the platform knows no such member.
	ErrNoMember = errs.Class("no such member")
)

// maxParallel bounds the calls that one command has open at a time.
const maxParallel = 64

// Client asks nodes through their operators' endpoints.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client; timeout bounds the call to each node.
func NewClient(timeout time.Duration) *Client {
	// The zero transport uses no proxy and this one keeps no connection: the
	// answer comes from the process that is there now, or there is none.
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{http: &http.Client{Transport: transport}, timeout: timeout}
}

// Answer is what one member answered, or why it did not.
type Answer[T any] struct {
	Member cluster.Member `json:"member"`
	Value  T              `json:"value"`
	Err    error          `json:"-"`
}

// Members lists the member objects of the platform, sorted by name. Members
// that are gone are left out unless all is true.
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

// Member reads one member object of the platform.
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

// StatusAll asks each member for its status, in parallel.
func (c *Client) StatusAll(ctx context.Context, members []cluster.Member) []Answer[Status] {
	return collect(ctx, members, c.Status)
}

// EventsAll asks each member for the events that the filter picks, in parallel.
func (c *Client) EventsAll(ctx context.Context, members []cluster.Member, f timeline.Filter) []Answer[EventList] {
	return collect(ctx, members, func(ctx context.Context, addr string) (EventList, error) {
		return c.Events(ctx, addr, f)
	})
}

// Status asks the node at an operator address for its status.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	var s Status
	err := c.call(ctx, to(addr).Get(PathStatus), &s)
	return s, err
}

// Events asks the node at an operator address for the events of its ring that
// the filter picks.
func (c *Client) Events(ctx context.Context, addr string, f timeline.Filter) (EventList, error) {
	var list EventList
	path := PathEvents + "?" + queryFromFilter(f).Encode()
	err := c.call(ctx, to(addr).Get(path), &list)
	return list, err
}

// Drain orders the node at an operator address to begin its planned stop.
func (c *Client) Drain(ctx context.Context, addr string) error {
	return c.call(ctx, to(addr).Post(PathDrain), &Reply{})
}

// Evict orders the node at an operator address to evict a member.
func (c *Client) Evict(ctx context.Context, addr string, order EvictOrder) error {
	return c.call(ctx, to(addr).Post(PathEvict).BodyJSON(order), &Reply{})
}

// to begins a request to an operator address.
func to(addr string) *sling.Sling { return sling.New().Base("http://" + addr) }

// call sends one request and decodes the answer into out.
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
		return ErrUnreachable.Wrap(plain(err))
	}
	if resp.StatusCode/100 != 2 {
		return ErrRefused.New("%s", refusal.Error)
	}
	return nil
}

// plain shortens a timeout, whose usual text names everything but the cause.
func plain(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.New("no answer within the timeout")
	}
	return err
}

// collect calls ask for each member in parallel and keeps the members' order.
func collect[T any](ctx context.Context, members []cluster.Member, ask func(context.Context, string) (T, error)) []Answer[T] {
	answers := make([]Answer[T], len(members))
	slots := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			v, err := ask(ctx, m.OperatorAddr)
			answers[i] = Answer[T]{Member: m, Value: v, Err: err}
		})
	}
	wg.Wait()
	return answers
}
