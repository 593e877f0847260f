// Command pier-edge runs the request path and the control plane of an entry VM on
// the operators' platform (see package edge). Unlike pier-router and pier-agent it
// is a single process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/dig"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/edge"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/program"
	"github.com/cranberrypier/cranberrypier/internal/vm"
	"github.com/cranberrypier/cranberrypier/platform"
)

// options holds the command line options.
type options struct {
	Metrics string `placeholder:"IP:PORT" help:"Address on which metrics are served."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("pier-edge"), kong.Description("Serves requests on an entry VM of the platform."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	out := logs.NewWriter(os.Stdout)
	logs.RedirectKlog(out)
	err := run(ctx, opts, hup, out)
	out.Close()
	stop()
	os.Exit(program.ReportError("pier-edge", err, os.Stderr))
}

// run builds the dependency container and runs the app until ctx is canceled.
func run(ctx context.Context, opts options, hup <-chan os.Signal, out *logs.Writer) error {
	c := dig.New()
	for _, p := range []any{
		platform.LoadSettings,
		func() *edge.Metrics {
			m := edge.NewMetrics()
			m.RegisterDroppedLogLines(out.Dropped)
			return m
		},
		edge.New,
		func() func() (*vm.Settings, error) { return platform.LoadSettings },
		func() edge.ReloadSignal { return forwardReloads(ctx, hup) },
		func() edge.Ingress { return platform.Ingress{} },
		func() edge.Protocol { return platform.ReplicaProtocol{} },
		func() edge.Documents { return platform.Documents{} },
		func(s *vm.Settings, m *edge.Metrics) *platform.StoreClient {
			return platform.NewStoreClient(s.Store.Address, s.Store.MaxValueBytes, edge.StoreTransport(), m.ObserveStoreCall)
		},
		func(s *platform.StoreClient) catalog.Source { return s },
		func(s *platform.StoreClient) edge.BlockedStore { return s },
	} {
		if err := c.Provide(p); err != nil {
			return fmt.Errorf("container: %w", err)
		}
	}
	if err := c.Provide(func() string { return opts.Metrics }, dig.Name("metrics")); err != nil {
		return fmt.Errorf("container: %w", err)
	}
	return c.Invoke(func(a *edge.App) error { return a.Run(ctx) })
}

// forwardReloads forwards SIGHUP as a request to reload the settings. Signals
// that arrive while a request is pending are dropped.
func forwardReloads(ctx context.Context, hup <-chan os.Signal) edge.ReloadSignal {
	out := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			}
			select {
			case out <- struct{}{}:
			default: // a request is already pending
			}
		}
	}()
	return out
}
