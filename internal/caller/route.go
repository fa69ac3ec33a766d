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

// routesFor returns the route table of a configuration and caches it.
func (s *Server) routesFor(cfg *config.Config) *routeTable {
	if t := s.routeCache.Load(); t != nil && t.cfg == cfg {
		return t
	}
	t := newRouteTable(cfg)
	s.routeCache.Store(t)
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

// precedes orders routes by precedence: the longest path prefix first, then
// routes with a host before those without, then by name, so that the order is
// the same on every node.
func precedes(a, b *config.Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	if (a.Host == "") != (b.Host == "") {
		return a.Host != ""
	}
	return a.Name < b.Name
}

// match returns the first route that matches host and path, or nil.
func (t *routeTable) match(host, path string) *config.Route {
	hostname := host
	if h, _, err := net.SplitHostPort(host); err == nil {
		hostname = h
	}
	for i := range t.routes {
		r := &t.routes[i]
		if r.Host != "" && !strings.EqualFold(r.Host, host) && !strings.EqualFold(r.Host, hostname) {
			continue
		}
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// pathSegment returns the n-th segment of the request's path, counted from 1,
// with percent-encoding decoded; empty if there is none or it is malformed.
func pathSegment(r *http.Request, n int) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	for range n - 1 {
		_, rest, ok := strings.Cut(path, "/")
		if !ok {
			return ""
		}
		path = rest
	}
	s, _, _ := strings.Cut(path, "/")
	unescaped, err := url.PathUnescape(s)
	if err != nil {
		return ""
	}
	return unescaped
}
