package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/platform"
)

// respondWith returns a handler that sends a status and a body.
func respondWith(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

// respondTruncated sends a body shorter than its Content-Length.
func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.VersionHeader, "1")
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"ver`))
}

// closeConnection closes the connection without a response.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// neverRespond blocks without a response until the client closes the connection.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	// The server detects a closed connection only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestClientErrorClasses(t *testing.T) {
	unavailable, unknown := &platform.ErrUnavailable, &platform.ErrUnknown
	cases := []struct {
		name    string
		handler http.HandlerFunc
		read    *errs.Class
		write   *errs.Class
	}{
		{"bad request", respondWith(400, ""), unavailable, unavailable},
		{"too many requests", respondWith(429, ""), unavailable, unavailable},
		{"service unavailable", respondWith(503, ""), unavailable, unavailable},
		{"internal server error", respondWith(500, ""), unavailable, unknown},
		{"gateway timeout", respondWith(504, ""), unavailable, unknown},
		{"conflict", respondWith(412, ""), &platform.ErrConflict, &platform.ErrConflict},
		{"not found", respondWith(404, ""), &platform.ErrNotFound, &platform.ErrNotFound},
		{"success without a version", respondWith(200, "{"), unavailable, unknown},
		{"truncated response", respondTruncated, unavailable, unknown},
		{"connection closed", closeConnection, unavailable, unknown},
		{"no response before the timeout", neverRespond, unavailable, unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			// The second URL must not be tried after an unknown outcome.
			secondURLCalls := 0
			counting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				secondURLCalls++
				c.handler(w, r)
			}))
			defer counting.Close()
			urls := []string{server.URL, counting.URL}
			client := platform.NewClient(platform.Options{URLs: urls, Timeout: 100 * time.Millisecond})
			_, err := client.Put(t.Context(), "k", 1, []byte("v"))
			wantClass(t, c.write, err)
			if c.write == unknown && secondURLCalls > 0 {
				t.Errorf("the write was sent to another URL after its outcome was unknown")
			}
			_, err = client.Get(t.Context(), "k")
			wantClass(t, c.read, err)
		})
	}
}
