// Package backend implements the owner's side of a request: the listener that
// receives the announcements of this node's backend server, and the gate, which
// is the only sender of requests to that server and enforces ownership and the
// lease.
package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
)

// AnnouncePath is the URL path to which a backend server posts its announcement.
const AnnouncePath = "/v1/announce"

const (
	// announceInterval is the interval at which a backend server repeats its
	// announcement. After missedAnnouncements intervals without one it is
	// withdrawn.
	announceInterval     = time.Second
	missedAnnouncements  = 3
	maxAnnouncementBytes = 64 << 10
	listenerTimeout      = 5 * time.Second
	// Upper limits of the values in an announcement.
	maxSlots       = 100_000
	maxConnections = 100_000
)

var errAnnouncement = errs.Class("announcement")

// Announcement describes a backend server. The server sends it periodically.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP:port on which the server accepts requests.
	Address string `json:"address"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts.
	Connections  int  `json:"connections"`
	DividedByKey bool `json:"divided_by_key"`
	ChecksFence  bool `json:"checks_fence"`
	// Leaving is true if the server is shutting down and accepts no new requests.
	Leaving bool `json:"leaving"`
	Ready   bool `json:"ready"`
}

// Check returns an error if the announcement is invalid.
func (a *Announcement) Check() error {
	if a.Service == "" {
		return errAnnouncement.New("service: expected a name")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errAnnouncement.New("address: expected IP:port, got %q", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errAnnouncement.New("slots: expected 1 to %d, got %d", maxSlots, a.Slots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return errAnnouncement.New("connections: expected 1 to %d, got %d", maxConnections, a.Connections)
	}
	return nil
}

// Listener receives announcements over HTTP.
type Listener struct {
	addr          string
	log           hclog.Logger
	onChange      func(a *Announcement)
	withdrawAfter time.Duration
	ln            net.Listener
	server        *http.Server

	mu    sync.Mutex
	last  *Announcement
	timer *time.Timer
}

// NewListener returns a listener for addr. Calls to onChange never overlap. It
// is called with each announcement that differs from the previous one, and with
// nil when announcements stop.
func NewListener(addr string, logger hclog.Logger, onChange func(a *Announcement)) *Listener {
	l := &Listener{
		addr: addr, log: logger.Named("backend"), onChange: onChange,
		withdrawAfter: missedAnnouncements * announceInterval,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+AnnouncePath, l.announce)
	l.server = &http.Server{
		Handler: mux, ReadTimeout: listenerTimeout, WriteTimeout: listenerTimeout,
		IdleTimeout: time.Minute, ErrorLog: logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return l
}

// Listen binds the address.
func (l *Listener) Listen() error {
	ln, err := net.Listen("tcp", l.addr)
	l.ln = ln
	return err
}

// Addr returns the address to which the listener is bound.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve handles announcements until ctx ends.
func (l *Listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.server.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the listener. The last announcement stays in effect.
func (l *Listener) Close() {
	_ = l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
	}
}

func (l *Listener) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&a)
	if err == nil {
		err = a.Check()
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
		return
	}
	l.accept(a)
	_, _ = w.Write([]byte("{}"))
}

func (l *Listener) accept(a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer == nil {
		l.timer = time.AfterFunc(l.withdrawAfter, l.withdraw)
	} else {
		l.timer.Reset(l.withdrawAfter)
	}
	if l.last != nil && *l.last == a {
		return
	}
	l.last = &a
	l.log.Info("backend server announced", "service", a.Service, "address", a.Address,
		"slots", a.Slots, "ready", a.Ready, "leaving", a.Leaving)
	l.onChange(&a)
}

func (l *Listener) withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		return
	}
	l.last = nil
	l.log.Warn("backend server withdrawn: no announcement received", "after", l.withdrawAfter)
	l.onChange(nil)
}
