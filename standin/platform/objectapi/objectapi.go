// Package objectapi serves the platform's object API over HTTP from memory. It
// is the stand-in of the platform in tests and in the demo.
package objectapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarhinge/internal/platform"
)

// Paths of the admin switches.
const (
	// SwitchPath takes platform.Switches as JSON by POST.
	SwitchPath = "/admin/switch"
	// CountsPath answers platform.Counts as JSON.
	CountsPath = "/admin/counts"
)

// Handler serves the API from a store in memory.
type Handler struct {
	store *platform.Memory
	mux   *http.ServeMux
}

// New returns the handler of a store.
func New(store *platform.Memory) *Handler {
	h := &Handler{store: store, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+platform.ObjectsPath+"{key...}", h.get)
	h.mux.HandleFunc("PUT "+platform.ObjectsPath+"{key...}", h.put)
	h.mux.HandleFunc("DELETE "+platform.ObjectsPath+"{key...}", h.delete)
	h.mux.HandleFunc("GET "+platform.ListPath, h.list)
	h.mux.HandleFunc("GET "+platform.WatchPath, h.watch)
	h.mux.HandleFunc("POST "+SwitchPath, h.setSwitches)
	h.mux.HandleFunc("GET "+CountsPath, h.counts)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set(platform.VersionHeader, strconv.FormatUint(o.Version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := h.store.Put(lasting(r), r.PathValue("key"), expected, value)
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, platform.PutAnswer{Version: version})
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	if err := h.store.Delete(lasting(r), r.PathValue("key"), expected); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	objects, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	if objects == nil {
		objects = []platform.Object{}
	}
	answer(w, objects)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	stream := &lines{encoder: json.NewEncoder(w), control: http.NewResponseController(w)}
	tick := time.NewTicker(platform.WatchKeepAlive)
	defer tick.Stop()
	done := make(chan struct{})
	defer close(done)
	ready := func() {
		stream.send(platform.WatchLine{Ready: true})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-tick.C:
					stream.send(platform.WatchLine{})
				}
			}
		}()
	}
	err := h.store.Watch(r.Context(), r.URL.Query().Get("prefix"), ready, func(o platform.Object) {
		stream.send(platform.WatchLine{Object: &o})
	})
	if !stream.close() {
		fail(w, err)
		return
	}
	// The answer has begun: only a broken connection can tell of the error.
	panic(http.ErrAbortHandler)
}

// lines writes the lines of one watch.
type lines struct {
	mu      sync.Mutex
	encoder *json.Encoder
	control *http.ResponseController
	begun   bool
	closed  bool
}

// send writes one line; a failure shows in the request's context.
func (l *lines) send(line platform.WatchLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.begun = true
	_ = l.encoder.Encode(line)
	_ = l.control.Flush()
}

// close stops further lines and reports whether any was written.
func (l *lines) close() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.begun
}

func (h *Handler) setSwitches(w http.ResponseWriter, r *http.Request) {
	var s platform.Switches
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.store.Set(s)
	answer(w, s)
}

func (h *Handler) counts(w http.ResponseWriter, _ *http.Request) { answer(w, h.store.Counts()) }

// lasting returns the context of a write: one that has arrived takes effect
// even if its caller has gone.
func lasting(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// expectedVersion returns the condition of an update.
func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || v == 0 {
		http.Error(w, `expected If-Match: "<version>" or If-None-Match: *`, http.StatusBadRequest)
		return 0, false
	}
	return v, true
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// fail answers with the status of an error. A lost answer closes the
// connection without one.
func fail(w http.ResponseWriter, err error) {
	switch {
	case platform.ErrUnknown.Has(err):
		panic(http.ErrAbortHandler)
	case platform.ErrNotFound.Has(err):
		http.Error(w, err.Error(), http.StatusNotFound)
	case platform.ErrConflict.Has(err):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case platform.ErrTooLarge.Has(err):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
