package caller

import (
	"net"
	"net/http"
	"net/url"
	"sort"
	"strings"

	"fulmarhinge/internal/config"
)

// routeTable holds the routes of one configuration in order of precedence.
type routeTable struct {
	cfg    *config.Config
	routes []config.Route
}

// table returns the routes of a configuration, sorted once for each.
func (s *Server) table(cfg *config.Config) *routeTable {
	if t := s.routes.Load(); t != nil && t.cfg == cfg {
		return t
	}
	t := newRouteTable(cfg)
	s.routes.Store(t)
	return t
}

func newRouteTable(cfg *config.Config) *routeTable {
	t := &routeTable{cfg: cfg}
	for _, r := range cfg.Routes {
		t.routes = append(t.routes, r)
	}
	sort.Slice(t.routes, func(i, j int) bool { return precedes(&t.routes[i], &t.routes[j]) })
	return t
}

// precedes orders routes: the longest prefix first, then one with a host
// before one without, then by name so that every node decides alike.
func precedes(a, b *config.Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	if (a.Host == "") != (b.Host == "") {
		return a.Host != ""
	}
	return a.Name < b.Name
}

// match returns the route of a request, or nil.
func (t *routeTable) match(host, path string) *config.Route {
	name := host
	if h, _, err := net.SplitHostPort(host); err == nil {
		name = h
	}
	for i := range t.routes {
		r := &t.routes[i]
		if r.Host != "" && !strings.EqualFold(r.Host, host) && !strings.EqualFold(r.Host, name) {
			continue
		}
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// segment returns the n-th segment of the request's path, counted from 1,
// without its escapes; empty if there is none.
func segment(r *http.Request, n int) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	for range n - 1 {
		_, rest, ok := strings.Cut(path, "/")
		if !ok {
			return ""
		}
		path = rest
	}
	s, _, _ := strings.Cut(path, "/")
	plain, err := url.PathUnescape(s)
	if err != nil {
		return ""
	}
	return plain
}
