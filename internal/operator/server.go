// Package operator implements the operator endpoint of a node, with health,
// metrics, status, events, planned stops and evictions, and the client with
// which the command line queries all nodes of a fleet.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/listener"
	"fulmarhinge/internal/timeline"
)

// Limits of the endpoint.
const (
	maxCommandBytes = 64 << 10
	maxHeaderBytes  = 64 << 10
	readTimeout     = 10 * time.Second
	idleTimeout     = time.Minute
	commandTimeout  = 30 * time.Second
	shutdownTimeout = time.Second
)

// Paths of the endpoint.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"
	PathEvents  = "/v1/events"
	PathDrain   = "/v1/drain"
	PathEvict   = "/v1/evict"
)

// Config configures the endpoint.
type Config struct {
	// Listen is an IP:port.
	Listen string
	// Metrics is written in addition to the metrics of the process; may be nil.
	Metrics *metrics.Set
}

// EvictRequest is the body of a request to evict a member.
type EvictRequest struct {
	Member string `json:"member"`
	Force  bool   `json:"force"`
}

// EventList is the answer to a request for events.
type EventList struct {
	Events []timeline.Event `json:"events"`
	// Shards is the number of shards of each service that is divided by key. It
	// is needed to compute the shard of a key.
	Shards map[string]int `json:"shards"`
}

// Reply is the answer to a drain or evict request, and to every request that
// fails.
type Reply struct {
	OK    bool   `json:"ok"`
	Error string `json:"error,omitempty"`
}

// Server is the operator endpoint of a node.
type Server struct {
	deps         Deps
	extraMetrics *metrics.Set
	log          hclog.Logger
	ln           net.Listener
	http         *http.Server
}

// New binds the address. The server answers no requests before Run.
func New(cfg Config, deps Deps, log hclog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{deps: deps, extraMetrics: cfg.Metrics, log: log.Named("operator"), ln: listener.New(ln, listener.ControlConns, nil)}
	s.http = listener.NewServer(s.Handler(), readTimeout, idleTimeout)
	s.http.MaxHeaderBytes = maxHeaderBytes
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Run serves until ctx is done, then closes the listener and returns nil.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		// A client that does not finish must not delay the stop.
		_ = s.http.Close()
	}
}

// Handler returns the handler for all paths of the endpoint.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, s.health)
	mux.HandleFunc("GET "+PathReady, s.ready)
	mux.HandleFunc("GET "+PathMetrics, s.metrics)
	mux.HandleFunc("GET "+PathStatus, s.status)
	mux.HandleFunc("GET "+PathEvents, s.events)
	mux.HandleFunc("GET "+PathExplain, s.explain)
	mux.HandleFunc("POST "+PathDrain, s.drain)
	mux.HandleFunc("POST "+PathEvict, s.evict)
	return mux
}

// health succeeds while the process runs, whatever the state of the node.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Reply{OK: true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.deps.Ready()
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, Reply{Error: reason})
		return
	}
	writeJSON(w, http.StatusOK, Reply{OK: true})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	status := s.deps.Status()
	// Scripts get [] for an empty list, not null.
	status.Witnesses = append([]cluster.MemberRef{}, status.Witnesses...)
	status.Members = append([]MemberRow{}, status.Members...)
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	filter, err := filterFromQuery(r.URL.Query())
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Reply{Error: err.Error()})
		return
	}
	filter.ShardCounts = s.deps.Status().Shards
	list := EventList{Events: filter.Select(s.deps.Events()), Shards: filter.ShardCounts}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	s.log.Info("planned stop requested", "from", r.RemoteAddr)
	s.replyToCommand(w, "drain", s.deps.Drain(ctx))
}

func (s *Server) evict(w http.ResponseWriter, r *http.Request) {
	var request EvictRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&request); err != nil || request.Member == "" {
		writeJSON(w, http.StatusBadRequest, Reply{Error: `expected {"member": NAME, "force": true or false}`})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	s.log.Info("eviction requested", "member", request.Member, "force", request.Force, "from", r.RemoteAddr)
	s.replyToCommand(w, "evict", s.deps.Evict(ctx, request.Member, request.Force))
}

func (s *Server) replyToCommand(w http.ResponseWriter, command string, err error) {
	if err != nil {
		s.log.Warn("request failed", "order", command, "error", err)
		writeJSON(w, http.StatusConflict, Reply{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, Reply{OK: true})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
