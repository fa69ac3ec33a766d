package main

import (
	"encoding/json"
	"net/http"
)

// adminRequest is the body of an admin call. The IP "*" matches every IP.
type adminRequest struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Both applies the call in both directions.
	Both bool `json:"both"`
}

// directions returns the directions to which the request applies.
func (r adminRequest) directions() []direction {
	ds := []direction{{r.From, r.To}}
	if r.Both {
		ds = append(ds, direction{r.To, r.From})
	}
	return ds
}

func (n *network) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/cut", adminCall(func(r adminRequest) {
		n.updateCuts(func(cuts map[direction]bool) {
			for _, d := range r.directions() {
				cuts[d] = true
			}
		})
	}))
	mux.HandleFunc("POST /admin/heal", adminCall(func(r adminRequest) {
		n.updateCuts(func(cuts map[direction]bool) {
			for _, d := range r.directions() {
				delete(cuts, d)
			}
		})
	}))
	mux.HandleFunc("POST /admin/heal-all", func(w http.ResponseWriter, _ *http.Request) {
		n.updateCuts(func(cuts map[direction]bool) { clear(cuts) })
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/counts", n.serveCounts)
	mux.HandleFunc("POST /admin/reset", adminCall(func(r adminRequest) {
		n.resetAll(direction{r.From, r.To})
	}))
	return mux
}

// directionCount is the number of bytes relayed in one direction.
type directionCount struct {
	direction
	Bytes uint64 `json:"bytes"`
}

// serveCounts responds with a list of directionCount.
func (n *network) serveCounts(w http.ResponseWriter, _ *http.Request) {
	counts := []directionCount{}
	n.mu.Lock()
	for d, bytes := range n.relayedBytes {
		counts = append(counts, directionCount{d, bytes})
	}
	n.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts)
}

// adminCall returns a handler that decodes and validates the request and passes
// it to fn.
func adminCall(fn func(adminRequest)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req adminRequest
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if req.From == "" || req.To == "" {
			http.Error(w, `expected "from" and "to": an IP or "*"`, http.StatusBadRequest)
			return
		}
		fn(req)
		w.WriteHeader(http.StatusNoContent)
	}
}
