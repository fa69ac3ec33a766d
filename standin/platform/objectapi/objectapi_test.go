package objectapi

import (
	"net/http/httptest"
	"strings"
	"testing"

	"fulmarhinge/internal/platform"
)

func TestAdmin(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		path     string
		body     string
		status   int
		contains string
	}{
		{"switch down", "POST", SwitchPath, `{"down":true}`, 200, `"down":true`},
		{"unknown switch", "POST", SwitchPath, `{"downn":true}`, 400, "downn"},
		{"switch by GET", "GET", SwitchPath, "", 405, ""},
		{"counts", "GET", CountsPath, "", 200, `"watch_seconds":0`},
		{"put without a condition", "PUT", platform.ObjectsPath + "k", "v", 400, "If-Match"},
		{"delete without a condition", "DELETE", platform.ObjectsPath + "k", "", 400, "If-Match"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
			New(platform.NewMemory()).ServeHTTP(w, r)
			if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.contains) {
				t.Errorf("%d %s", w.Code, w.Body)
			}
		})
	}
}

func TestSwitchesReachTheStore(t *testing.T) {
	store := platform.NewMemory()
	h := New(store)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("POST", SwitchPath, strings.NewReader(`{"down":true,"lose_answers":2}`)))
	if s := store.Switches(); !s.Down || s.LoseResponses != 2 {
		t.Errorf("switches %+v", s)
	}
	w = httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", platform.ObjectsPath+"k", nil))
	if w.Code != 503 {
		t.Errorf("status %d while down", w.Code)
	}
}
