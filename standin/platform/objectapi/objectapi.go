// Package objectapi serves the platform's object API over HTTP from an in-memory
// store, for tests and for the demo.
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

// Paths of the admin API.
const (
	// SwitchPath accepts platform.Switches as JSON with POST.
	SwitchPath = "/admin/switch"
	// CountsPath returns platform.Counts as JSON.
	CountsPath = "/admin/counts"
)

// Handler serves the API from an in-memory store.
type Handler struct {
	store *platform.Memory
	mux   *http.ServeMux
}

// New returns a handler that serves the store.
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
		writeError(w, err)
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
	version, err := h.store.Put(withoutCancel(r), r.PathValue("key"), expected, value)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, platform.PutResponse{Version: version})
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	if err := h.store.Delete(withoutCancel(r), r.PathValue("key"), expected); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	objects, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	if objects == nil {
		objects = []platform.Object{}
	}
	writeJSON(w, objects)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	stream := &watchStream{encoder: json.NewEncoder(w), control: http.NewResponseController(w)}
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
		writeError(w, err)
		return
	}
	// The response has started, so the error can be reported only by closing the
	// connection.
	panic(http.ErrAbortHandler)
}

// watchStream writes the lines of one watch response.
type watchStream struct {
	mu      sync.Mutex
	encoder *json.Encoder
	control *http.ResponseController
	started bool
	closed  bool
}

// send writes one line. It ignores write errors, because they cancel the request's
// context.
func (s *watchStream) send(line platform.WatchLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.started = true
	_ = s.encoder.Encode(line)
	_ = s.control.Flush()
}

// close prevents further lines and reports whether any line was written.
func (s *watchStream) close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.started
}

func (h *Handler) setSwitches(w http.ResponseWriter, r *http.Request) {
	var s platform.Switches
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.store.SetSwitches(s)
	writeJSON(w, s)
}

func (h *Handler) counts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.store.Counts()) }

// withoutCancel returns the context of a write, which is not cancelled with the
// request: a write that was received takes effect even if the client disconnects.
func withoutCancel(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// expectedVersion returns the version that a conditional write expects; 0 if the
// object must not exist.
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

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError responds with the status for err. For platform.ErrUnknown, which
// simulates a lost answer, it closes the connection without a response.
func writeError(w http.ResponseWriter, err error) {
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
