// Package caller accepts HTTP requests from callers. It determines service,
// customer and key of a request, enforces the limits of the customer's
// contract, and sends the request to the backend gate of the key's owner, on
// this node or on a peer. The node that receives a request from a caller is
// called its entry node.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/limit"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/waitlimit"
)

// Limits bounds the resources that one caller may use. A zero field takes its
// default.
type Limits struct {
	// MaxHeaderBytes is the maximum size in bytes of the request line and header.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size in bytes of a request body.
	MaxBodyBytes int64
	// HeaderTimeout bounds how long a caller may take to send the request header.
	HeaderTimeout time.Duration
	// BodyIdleTimeout bounds how long a read of the request body waits for more
	// bytes.
	BodyIdleTimeout time.Duration
	// IdleTimeout bounds how long a connection stays open between requests.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultMaxBodyBytes    = 4 << 30
	DefaultHeaderTimeout   = 5 * time.Second
	DefaultBodyIdleTimeout = 10 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
)

// headerLimitFactor is the ratio of the header limit of net/http to the
// configured one. It is above 1 so that most oversized headers get a response
// with a result code.
const headerLimitFactor = 4

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.BodyIdleTimeout == 0 {
		l.BodyIdleTimeout = DefaultBodyIdleTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Config is the configuration of a Server.
type Config struct {
	// Listen is the IP:port on which callers are accepted.
	Listen string
	Limits Limits
}

// Server is the HTTP server of a node for its callers.
type Server struct {
	cfg        Config
	views      *view.Source
	transport  *peer.Transport
	gate       *backend.Gate
	admitter   limit.Admitter
	log        hclog.Logger
	httpServer *http.Server
	listener   net.Listener

	requestSeq  atomic.Uint64
	routeCache  atomic.Pointer[routeTable]
	pool        *backendPool
	retryBudget *retryBudget
	waitLimiter *waitlimit.Limiter
	links       *links
	// openConns is the number of open connections of callers; stopping is true
	// once Shutdown has begun.
	openConns atomic.Int64
	stopping  atomic.Bool
}

// New returns a server that is not listening yet.
func New(cfg Config, views *view.Source, transport *peer.Transport, gate *backend.Gate,
	admitter limit.Admitter, logger hclog.Logger) *Server {
	cfg.Limits = cfg.Limits.withDefaults()
	s := &Server{
		cfg: cfg, views: views, transport: transport, gate: gate, admitter: admitter,
		log: logger.Named("caller"), pool: newBackendPool(), retryBudget: newRetryBudget(), waitLimiter: waitlimit.New(),
		links: &links{},
	}
	gate.SetForward(s.relayRequest)
	s.httpServer = &http.Server{
		ConnState:         s.trackConn,
		Handler:           s,
		MaxHeaderBytes:    cfg.Limits.MaxHeaderBytes * headerLimitFactor,
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:       cfg.Limits.IdleTimeout,
		ErrorLog:          s.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// trackConn counts open connections.
func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// Listen binds the configured address.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	s.listener = ln
	return err
}

// Addr returns the address that Listen bound.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until Shutdown.
func (s *Server) Serve() error {
	err := s.httpServer.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return err
}

const (
	// connCloseTimeout bounds how long Shutdown waits for callers' connections
	// to close before it closes the idle ones.
	connCloseTimeout = 2 * time.Second
	// connClosePollInterval is the interval at which their number is checked.
	connClosePollInterval = 20 * time.Millisecond
)

// Shutdown accepts no more connections and waits until every request has ended
// or ctx ends; in the latter case the remaining requests are aborted. Keep-alive
// connections are closed with their next response. Idle ones are closed only
// after connCloseTimeout, because a request may already be in transit on one of
// them.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	if queuedConns := closeAndDrain(s.listener); len(queuedConns) > 0 {
		_ = s.httpServer.Serve(&acceptedListener{Listener: s.listener, conns: queuedConns})
	}
	for end := time.Now().Add(connCloseTimeout); s.openConns.Load() > 0 && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(connClosePollInterval)
	}
	err := s.httpServer.Shutdown(ctx)
	if err != nil {
		_ = s.httpServer.Close()
	}
	return err
}

// nextRequestID returns a request id that is unique in the fleet.
func (s *Server) nextRequestID(v *view.View) string {
	id := v.Self.Name + "." + strconv.FormatUint(v.Self.Incarnation, 36)
	return id + "." + strconv.FormatUint(s.requestSeq.Add(1), 36)
}
