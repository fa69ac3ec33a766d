package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/pflag"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/settings"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// defaultCallTimeout bounds one call to a node or to the platform.
const defaultCallTimeout = 2 * time.Second

// app holds the flags and streams that all commands share.
type app struct {
	out, errOut io.Writer
	// commandStarted is true once a command runs. Errors before that are usage
	// errors.
	commandStarted bool

	output       string
	platformURLs []string
	settingsFile string
	nodes        []string
	callTimeout  time.Duration
}

func (a *app) addFlags(f *pflag.FlagSet) {
	f.StringVar(&a.output, "output", outputTable, "output format: table or json")
	f.StringSliceVar(&a.platformURLs, "platform", nil, "URL of the platform, such as http://10.1.2.3:9000 (repeatable)")
	f.StringVar(&a.settingsFile, "settings", "", "settings file of a node")
	f.StringSliceVar(&a.nodes, "node", nil, "operator address of a node, to find the others without the platform (repeatable)")
	f.DurationVar(&a.callTimeout, "call-timeout", defaultCallTimeout, "timeout of one call to a node or to the platform")
}

func (a *app) checkFlags() error {
	if !slices.Contains([]string{outputTable, outputJSON}, a.output) {
		return fmt.Errorf("--output: got %q; expected table or json", a.output)
	}
	if a.callTimeout <= 0 {
		return fmt.Errorf("--call-timeout: got %s; expected more than 0s", a.callTimeout)
	}
	return nil
}

// store returns a client of the platform that the flags name.
func (a *app) store() (platform.Store, error) {
	urls := a.platformURLs
	if len(urls) == 0 {
		if a.settingsFile == "" {
			return nil, usageError.New("expected --platform URL or --settings FILE")
		}
		s, err := settings.Load(a.settingsFile)
		if err != nil {
			return nil, err
		}
		urls = s.Platform.URLs
	}
	return platform.NewClient(platform.Options{URLs: urls, Timeout: a.callTimeout}), nil
}

func (a *app) client() *operator.Client { return operator.NewClient(a.callTimeout) }

// members lists the members of the fleet, from the platform or, with --node,
// from the status of that node.
func (a *app) members(ctx context.Context, all bool) ([]cluster.Member, error) {
	if len(a.nodes) > 0 {
		return a.membersFromNodes(ctx)
	}
	store, err := a.store()
	if err != nil {
		return nil, err
	}
	return operator.Members(ctx, store, all)
}

// membersFromNodes asks the nodes of --node one after another until one
// answers.
func (a *app) membersFromNodes(ctx context.Context) ([]cluster.Member, error) {
	var lastErr error
	for _, addr := range a.nodes {
		status, err := a.client().Status(ctx, addr)
		if err != nil {
			lastErr = err
			continue
		}
		list := make([]cluster.Member, 0, len(status.Members))
		for _, row := range status.Members {
			list = append(list, cluster.Member{
				MemberRef: row.MemberRef, State: row.State, Zone: row.Zone, OperatorAddr: row.OperatorAddr,
			})
		}
		return list, nil
	}
	return nil, lastErr
}
