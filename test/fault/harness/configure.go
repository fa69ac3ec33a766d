package harness

import (
	"context"
	"net"
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/platform"
)

// PathPrefix precedes the key in the path of every request of a test.
const PathPrefix = "/t/"

// Store returns a client of the fleet's platform.
func (f *Fleet) Store() platform.Store {
	return platform.NewClient(platform.Options{URLs: []string{f.PlatformURL()}})
}

// configure applies the initial configuration: the service, a route to it and the
// contracts.
func (f *Fleet) configure() error {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	route := config.Route{
		Name:           "test",
		PathPrefix:     PathPrefix,
		Service:        f.Options.Service.Name,
		CustomerHeader: headerCustomer,
	}
	if f.Options.Service.DividedByKey {
		route.KeySegment = 2
	}
	edits := []config.Edit{config.Services.Set(0, f.Options.Service), config.Routes.Set(0, route)}
	for _, c := range f.Options.Contracts {
		edits = append(edits, config.Contracts.Set(0, c))
	}
	_, err := config.NewEditor(f.Store()).Apply(ctx, config.AnyRevision, config.All(edits...))
	return err
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
