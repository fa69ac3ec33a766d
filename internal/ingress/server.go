// Package ingress accepts requests from the callers on a VM, forwards each to the
// node of a backend server that can serve it, and returns the response.
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
	"fulmarhinge/internal/disconnect"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/listener"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/stopping"
	"fulmarhinge/internal/wire"
)

// Headers holds the header names used by callers and backend servers.
type Headers struct {
	RequestID string
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// Key carries the key of a request for a service that is divided by keys.
	Key string
	// Caller carries the service on whose VM the request originated.
	Caller string
	// Instance names the server instance that a request is for; any other instance
	// refuses it.
	Instance string
}

// Gate sends a request to the backend server on this VM.
type Gate interface {
	Do(ctx context.Context, h *wire.RequestHead, body []byte) (*wire.ResponseHead, []byte)
}

// Peers opens streams to other nodes.
type Peers interface {
	Open(ctx context.Context, addr string) (net.Conn, error)
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	Self    cluster.MemberRef
	Zone    string
	Service string
	Headers Headers
	Gate    Gate
	Peers   Peers
	// Suspects holds the requests under which backend servers have ended; if nil, the
	// server has a table of its own.
	Suspects *quarantine.Table
	Logger   hclog.Logger
	// Decisions receives the log lines on requests; this package limits their rate.
	Decisions hclog.Logger
}

// Server is the ingress server of a node.
type Server struct {
	cfg         Config
	log         hclog.Logger
	http        *http.Server
	config      atomic.Pointer[route.Config]
	view        atomic.Pointer[View]
	viewChanged atomic.Pointer[chan struct{}]
	picker      *picker
	budget      *retryBudget
	outcomes    *outcomeLog
	notices     noticeCache
	stalls      stallDetector
	// One in servedOneIn requests that are served on the first attempt is logged, or
	// none if it is 0; servedCount counts all such requests while sampling is on.
	servedOneIn, servedCount atomic.Int64
	reqMetrics               *requestMetrics
	draining                 atomic.Bool
	// stop bounds the requests of a draining node; nil if it does not stop.
	stop         atomic.Pointer[stopping.Window]
	refusing     atomic.Bool
	inFlight     atomic.Int64
	stripHeaders map[string]bool
	ages         ageEstimator
}

// View is an immutable snapshot of the fleet document.
type View struct {
	Doc          *fleet.Document
	Version      uint64
	readyMembers map[string][]*fleet.Member
	// evacuated holds the services that have ready members in zones under evacuation.
	evacuated map[string]bool
}

// NewView returns a view of the document with its ready members indexed by service.
func NewView(doc *fleet.Document, version uint64) *View {
	v := &View{Doc: doc, Version: version, readyMembers: map[string][]*fleet.Member{}, evacuated: map[string]bool{}}
	for _, m := range doc.Members {
		switch exclusion(doc, m) {
		case "":
			v.readyMembers[m.Server.Service] = append(v.readyMembers[m.Server.Service], m)
		case excludedZone:
			v.evacuated[m.Server.Service] = true
		}
	}
	return v
}

// Reasons for which a member is no candidate.
const (
	excludedNoServer = "no server is known"
	excludedNotReady = "not ready"
	excludedEvicted  = "evicted"
	excludedZone     = "zone evacuated"
	excludedLeaving  = "leaving"
	excludedSuspect  = "a server ended under this request: one other runs it"
)

// exclusion returns why the document excludes a member from the candidates, "" if it does
// not.
func exclusion(doc *fleet.Document, m *fleet.Member) string {
	switch {
	case m.Server == nil:
		return excludedNoServer
	case !m.Server.Ready:
		return excludedNotReady
	case m.Evicted:
		return excludedEvicted
	case doc.IsEvacuated(m.Zone):
		return excludedZone
	}
	return ""
}

// New returns a server without a configuration; it refuses requests until it has one.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, log: cfg.Logger.Named("ingress"), picker: newPicker(cfg.Self.Name, cfg.Zone), budget: newRetryBudget(),
		outcomes: newOutcomeLog(cfg.Decisions.Named("ingress")), reqMetrics: newRequestMetrics(),
		stripHeaders: map[string]bool{
			http.CanonicalHeaderKey(cfg.Headers.Deadline): true,
			http.CanonicalHeaderKey(cfg.Headers.Caller):   true,
			http.CanonicalHeaderKey(cfg.Headers.Instance): true,
		},
	}
	if s.cfg.Suspects == nil {
		s.cfg.Suspects = quarantine.New()
	}
	s.http = &http.Server{
		Handler: s, ConnContext: connContext, ConnState: listener.ConnState, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: s.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ch := make(chan struct{})
	s.viewChanged.Store(&ch)
	return s
}

// connContext prepares the context of a connection's requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*listener.Conn); ok {
		return disconnect.WithConn(listener.WithConn(ctx, own), own.TCP())
	}
	return disconnect.WithConn(ctx, c)
}

// SetConfig activates a configuration.
func (s *Server) SetConfig(c *route.Config) { s.config.Store(c) }

// ConfigVersion returns the version of the active configuration, or 0 if there is
// none.
func (s *Server) ConfigVersion() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// SetView replaces the view and wakes the requests that wait for a change.
func (s *Server) SetView(v *View) {
	s.view.Store(v)
	s.notices.prune(time.Now(), v.Doc)
	ch := make(chan struct{})
	close(*s.viewChanged.Swap(&ch))
}

// Ready reports whether callers may use this node.
func (s *Server) Ready() bool {
	return s.config.Load() != nil && s.view.Load() != nil && !s.draining.Load()
}

// SetServedSampling sets the sampling rate of the log for requests that are served
// on the first attempt: one in oneIn is logged, or none if oneIn is 0.
func (s *Server) SetServedSampling(oneIn int64) { s.servedOneIn.Store(oneIn) }

// shouldLogServed counts a request that was served on the first attempt and reports
// whether it is to be logged.
func (s *Server) shouldLogServed() bool {
	n := s.servedOneIn.Load()
	return n > 0 && s.servedCount.Add(1)%n == 0
}

// Heartbeat is to be called every 40 ms; it detects pauses of the process.
func (s *Server) Heartbeat() { s.stalls.heartbeat(clock.Now()) }

// Flush logs the summaries of outcomes that were not logged separately.
func (s *Server) Flush() { s.outcomes.flush(time.Now()) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

const (
	// idleTimeout is how long a caller's connection stays open between requests.
	// net/http reads it only once, so it does not follow the configuration; it is
	// longer than the idle timeouts in configurations.
	idleTimeout = time.Minute
	// readHeaderTimeout limits the time in which a caller must send the header.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the limit that net/http enforces. The limits in
	// configurations are lower; this package does not enforce them.
	maxHeaderBytes = 64 << 10
)

// Serve serves callers on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// StartDraining makes the server not ready, bounds new requests by the window, and closes
// callers' connections after their next response.
func (s *Server) StartDraining(w *stopping.Window) {
	s.stop.Store(w)
	s.draining.Store(true)
}

// RefuseRequests makes the server refuse new requests, because too little time is
// left to serve them before the process ends.
func (s *Server) RefuseRequests() { s.refusing.Store(true) }

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
