// Package caller is the entry of a node: it takes HTTP requests of callers,
// finds service, customer and key, holds the customer to its contract, and
// sends the request to the owner's gate, here or at a peer.
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
	"fulmarhinge/internal/waitroom"
)

// Limits bound what one caller may use. A zero field takes its default.
type Limits struct {
	// MaxHeader is the size in bytes of the request line and header.
	MaxHeader int
	// MaxBody is the size in bytes of a request body.
	MaxBody int64
	// HeaderTime bounds how long a caller takes to send its header.
	HeaderTime time.Duration
	// BodyPause bounds the time between two pieces of a request body.
	BodyPause time.Duration
	// Idle bounds how long a connection stays open between requests.
	Idle time.Duration
}

// Defaults of Limits.
const (
	DefaultMaxHeader  = 64 << 10
	DefaultMaxBody    = 4 << 30
	DefaultHeaderTime = 5 * time.Second
	DefaultBodyPause  = 10 * time.Second
	DefaultIdle       = 2 * time.Minute
)

// headerLimitFactor is how far net/http's own limit lies above MaxHeader, so that
// most oversized headers get a refusal with a result code.
const headerLimitFactor = 4

func (l Limits) withDefaults() Limits {
	if l.MaxHeader == 0 {
		l.MaxHeader = DefaultMaxHeader
	}
	if l.MaxBody == 0 {
		l.MaxBody = DefaultMaxBody
	}
	if l.HeaderTime == 0 {
		l.HeaderTime = DefaultHeaderTime
	}
	if l.BodyPause == 0 {
		l.BodyPause = DefaultBodyPause
	}
	if l.Idle == 0 {
		l.Idle = DefaultIdle
	}
	return l
}

// Config says where callers are served.
type Config struct {
	// Listen is the IP:port for callers.
	Listen string
	Limits Limits
}

// Server is the entry of a node.
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
	waitLimiter *waitroom.Room
	links       *links
	// openConns is the number of callers' connections; stopping is true once
	// Shutdown has begun.
	openConns atomic.Int64
	stopping  atomic.Bool
}

// New returns an entry that is not listening yet.
func New(cfg Config, views *view.Source, transport *peer.Transport, gate *backend.Gate,
	admitter limit.Admitter, logger hclog.Logger) *Server {
	cfg.Limits = cfg.Limits.withDefaults()
	s := &Server{
		cfg: cfg, views: views, transport: transport, gate: gate, admitter: admitter,
		log: logger.Named("caller"), pool: newBackendPool(), retryBudget: newRetryBudget(), waitLimiter: waitroom.New(),
		links: &links{},
	}
	gate.SetPassOn(s.relayRequest)
	s.httpServer = &http.Server{
		ConnState:         s.trackConn,
		Handler:           s,
		MaxHeaderBytes:    cfg.Limits.MaxHeader * headerLimitFactor,
		ReadHeaderTimeout: cfg.Limits.HeaderTime,
		IdleTimeout:       cfg.Limits.Idle,
		ErrorLog:          s.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// trackConn keeps the number of open connections.
func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// Listen binds the address.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	s.listener = ln
	return err
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers callers until Shutdown.
func (s *Server) Serve() error {
	err := s.httpServer.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return err
}

const (
	// connCloseTimeout is how long the last connections are waited for at a stop.
	connCloseTimeout = 2 * time.Second
	// connClosePollInterval is the time between two looks at them.
	connClosePollInterval = 20 * time.Millisecond
)

// Shutdown accepts no more connections and waits until every request has ended
// or ctx ends; in the latter case the remaining ones are cut. Connections that
// callers keep are closed with their next answer, for a while, before those
// that are idle are closed: a request may be on its way on one of them.
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
