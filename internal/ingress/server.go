// Package ingress takes the requests of the callers on a VM, finds the node
// beside the backend server that is to run each, and answers for it.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/wire"
)

// Headers are the names that callers and backend servers know.
type Headers struct {
	RequestID string
	// Deadline holds the time left in ms.
	Deadline string
	// Key holds the key of a request for a service that is divided by keys.
	Key string
	// Caller holds the service beside which the request began.
	Caller string
	// Instance makes any other server refuse a request.
	Instance string
}

// Gate sends a request to the backend server beside this node.
type Gate interface {
	Do(ctx context.Context, h *wire.RequestHead, body []byte) (*wire.ResponseHead, []byte)
}

// Peers opens streams to other nodes.
type Peers interface {
	Open(ctx context.Context, addr string) (net.Conn, error)
}

// Config says what the entry stands on.
type Config struct {
	Self    cluster.MemberRef
	Zone    string
	Service string
	Headers Headers
	Gate    Gate
	Peers   Peers
	Logger  hclog.Logger
	// Decisions takes the lines on requests, which are bounded here.
	Decisions hclog.Logger
}

// Server is the entry of a node.
type Server struct {
	cfg      Config
	log      hclog.Logger
	http     *http.Server
	config   atomic.Pointer[route.Config]
	view     atomic.Pointer[View]
	changed  atomic.Pointer[chan struct{}]
	picker   *picker
	budget   *budget
	outcomes *outcomes
	awake    awake
	// servedOneIn is the sampling of served requests, served counts them.
	servedOneIn, served atomic.Int64
	counts              *counts
	stopping            atomic.Bool
	refusing            atomic.Bool
	inFlight            atomic.Int64
	strip               map[string]bool
	ages                ages
}

// View is the fleet as the entry sees it; it is never changed.
type View struct {
	Doc     *fleet.Document
	Version uint64
	serving map[string][]*fleet.Member
}

// NewView indexes a document.
func NewView(doc *fleet.Document, version uint64) *View {
	v := &View{Doc: doc, Version: version, serving: map[string][]*fleet.Member{}}
	for _, m := range doc.Members {
		if m.Server != nil && m.Server.Ready && !m.Evicted {
			v.serving[m.Server.Service] = append(v.serving[m.Server.Service], m)
		}
	}
	return v
}

// New returns an entry that serves nobody yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, log: cfg.Logger.Named("ingress"), picker: newPicker(cfg.Self.Name, cfg.Zone), budget: newBudget(),
		outcomes: newOutcomes(cfg.Decisions.Named("ingress")), counts: newCounts(),
		strip: map[string]bool{
			http.CanonicalHeaderKey(cfg.Headers.Deadline): true,
			http.CanonicalHeaderKey(cfg.Headers.Caller):   true,
			http.CanonicalHeaderKey(cfg.Headers.Instance): true,
		},
	}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headerDefault, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: s.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ch := make(chan struct{})
	s.changed.Store(&ch)
	return s
}

// SetConfig puts a configuration in force.
func (s *Server) SetConfig(c *route.Config) { s.config.Store(c) }

// ConfigVersion returns the version in force, 0 if there is none.
func (s *Server) ConfigVersion() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// SetView takes a newer document and wakes the requests that wait for one.
func (s *Server) SetView(v *View) {
	s.view.Store(v)
	ch := make(chan struct{})
	close(*s.changed.Swap(&ch))
}

// Ready reports whether callers may be sent here.
func (s *Server) Ready() bool {
	return s.config.Load() != nil && s.view.Load() != nil && !s.stopping.Load()
}

// SampleServed gives one in so many requests that are served at the first try
// a line; 0 gives none.
func (s *Server) SampleServed(oneIn int64) { s.servedOneIn.Store(oneIn) }

// sampled reports whether the next request that is served gets a line.
func (s *Server) sampled() bool {
	n := s.servedOneIn.Load()
	return n > 0 && s.served.Add(1)%n == 0
}

// Alive is called every 40 ms, so that a pause of the process is noticed.
func (s *Server) Alive() { s.awake.sign(clock.Now()) }

// Flush sums up the outcomes that got no line of their own.
func (s *Server) Flush() { s.outcomes.flush(time.Now()) }

// InFlight returns how many requests are being answered.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

const (
	// idleTimeout is how long a caller's connection stays open between requests.
	// It is above what configurations promise, as net/http takes it once.
	idleTimeout = time.Minute
	// headerDefault bounds the time that a caller takes to send a header.
	headerDefault = 5 * time.Second
	// maxHeader is the limit of net/http; the configuration's is below it.
	maxHeader = 64 << 10
)

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop makes the entry tell callers to go elsewhere; requests are answered on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Refuse makes the entry refuse new requests: there is no time left to answer
// them before the process ends.
func (s *Server) Refuse() { s.refusing.Store(true) }

// Shutdown accepts nothing more and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
