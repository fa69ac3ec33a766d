package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fulmarhinge/internal/platform"
)

// TestAnswersWithoutEnd guards against an answer of the platform without end that fills the
// memory of the node until the call's timeout, and for a watch for good.
func TestAnswersWithoutEnd(t *testing.T) {
	const most = 64 << 20
	for _, tc := range []struct {
		name string
		call func(c *platform.Client) error
	}{
		{"put", func(c *platform.Client) error {
			_, err := c.Put(context.Background(), "a/b", 0, []byte("x"))
			return err
		}},
		{"watch", func(c *platform.Client) error {
			return c.Watch(context.Background(), "a/", nil, func(platform.Object) {})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var written atomic.Int64
			chunk := []byte(strings.Repeat("a", 64<<10))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := w.Write([]byte(`{"object":{"key":"`))
				for err == nil && written.Load() < most {
					var n int
					n, err = w.Write(chunk)
					written.Add(int64(n))
				}
			}))
			defer server.Close()
			c := platform.NewClient(platform.Options{URLs: []string{server.URL}, Timeout: 5 * time.Second, WatchIdleTimeout: 5 * time.Second})
			if err := tc.call(c); err == nil {
				t.Error("no error")
			}
			if n := written.Load(); n >= most {
				t.Errorf("the client read on until %d bytes were written", n)
			}
		})
	}
}
