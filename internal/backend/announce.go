// Package backend is the owner's side of a request: the listener on which the
// backend server beside this node announces itself, and the gate, which alone
// sends requests to it and only as ownership and the lease allow.
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

// AnnouncePath is where a backend server posts its announcement.
const AnnouncePath = "/v1/announce"

const (
	// announceInterval is how often a backend server repeats itself, and
	// missedAnnouncements how many missing ones withdraw it.
	announceInterval    = time.Second
	missedAnnouncements = 3
	maxAnnouncement     = 64 << 10
	listenerTimeout     = 5 * time.Second
	// Bounds on what a backend server may claim.
	maxSlots       = 100_000
	maxConnections = 100_000
)

var errAnnouncement = errs.Class("announcement")

// Announcement is what a backend server says of itself.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP:port that takes requests.
	Address string `json:"address"`
	// Slots is how many requests it runs at a time.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts.
	Connections  int  `json:"connections"`
	DividedByKey bool `json:"divided_by_key"`
	ChecksFence  bool `json:"checks_fence"`
	// Leaving is true once it wants no new work.
	Leaving bool `json:"leaving"`
	Ready   bool `json:"ready"`
}

// Check says what is wrong with the announcement, or returns nil.
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

// Listener receives announcements.
type Listener struct {
	addr     string
	log      hclog.Logger
	onChange func(a *Announcement)
	silence  time.Duration
	ln       net.Listener
	server   *http.Server

	mu    sync.Mutex
	last  *Announcement
	timer *time.Timer
}

// NewListener returns a listener for addr. onChange is called, never at the
// same time twice, with each announcement that differs from the one before,
// and with nil when the backend server has fallen silent.
func NewListener(addr string, logger hclog.Logger, onChange func(a *Announcement)) *Listener {
	l := &Listener{
		addr: addr, log: logger.Named("backend"), onChange: onChange,
		silence: missedAnnouncements * announceInterval,
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

// Addr returns the bound address.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve answers announcements until ctx ends.
func (l *Listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.server.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the listener; the last announcement stays as it is.
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
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
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
		l.timer = time.AfterFunc(l.silence, l.withdraw)
	} else {
		l.timer.Reset(l.silence)
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
	l.log.Warn("backend server is silent", "after", l.silence)
	l.onChange(nil)
}
