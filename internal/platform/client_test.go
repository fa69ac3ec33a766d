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

// status answers each request with a status and a body.
func status(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

// cut answers with less than it has announced.
func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.VersionHeader, "1")
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"ver`))
}

// closed ends the connection without an answer.
func closed(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// silent answers nothing until the client gives up.
func silent(_ http.ResponseWriter, r *http.Request) {
	// The server notices that the client has gone only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestClientClassesWhatTheChangeMayHaveDone(t *testing.T) {
	unavailable, unknown := &platform.ErrUnavailable, &platform.ErrUnknown
	cases := []struct {
		name    string
		handler http.HandlerFunc
		read    *errs.Class
		write   *errs.Class
	}{
		{"bad request", status(400, ""), unavailable, unavailable},
		{"too many requests", status(429, ""), unavailable, unavailable},
		{"refused before the change", status(503, ""), unavailable, unavailable},
		{"failed inside", status(500, ""), unavailable, unknown},
		{"gateway timed out", status(504, ""), unavailable, unknown},
		{"conflict", status(412, ""), &platform.ErrConflict, &platform.ErrConflict},
		{"not found", status(404, ""), &platform.ErrNotFound, &platform.ErrNotFound},
		{"success without a version", status(200, "{"), unavailable, unknown},
		{"answer cut", cut, unavailable, unknown},
		{"connection closed", closed, unavailable, unknown},
		{"no answer in time", silent, unavailable, unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			// The second URL must not be tried after an unknown outcome.
			second := 0
			counting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				second++
				c.handler(w, r)
			}))
			defer counting.Close()
			urls := []string{server.URL, counting.URL}
			client := platform.NewClient(platform.Options{URLs: urls, Timeout: 100 * time.Millisecond})
			_, err := client.Put(t.Context(), "k", 1, []byte("v"))
			wantClass(t, c.write, err)
			if c.write == unknown && second > 0 {
				t.Errorf("the write was sent to another URL after its outcome was unknown")
			}
			_, err = client.Get(t.Context(), "k")
			wantClass(t, c.read, err)
		})
	}
}
