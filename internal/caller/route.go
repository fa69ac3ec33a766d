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

// routesFor returns the routes of a configuration, sorted once for each.
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

// pathSegment returns the n-th pathSegment of the request's path, counted from 1,
// without its escapes; empty if there is none.
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
