package operator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
	"github.com/cranberrypier/cranberrypier/platform"
)

// siteTimeout bounds all store calls of one pierctl site together.
const siteTimeout = 10 * time.Second

// SiteCommand is pierctl site. It prints a site's configuration, upstreams,
// roll-outs and withdrawn zones as the platform's store has them.
type SiteCommand struct {
	Store string `required:"" placeholder:"IP:PORT" help:"Address of the platform's store."`
}

// Run implements the command.
func (c *SiteCommand) Run(e *Env) error {
	ctx, cancel := context.WithTimeout(e.Context, siteTimeout)
	defer cancel()
	store := platform.NewStoreClient(c.Store, 0, stricthttp.NewTransport(&http.Transport{DisableKeepAlives: true}), func(string, string, time.Duration) {})
	for _, printSection := range []func(context.Context, catalog.Source, io.Writer) error{
		printConfig, printUpstreams, printRollOuts, printWithdrawals,
	} {
		if err := printSection(ctx, store, e.Out); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func printConfig(ctx context.Context, store catalog.Source, out io.Writer) error {
	list, _, err := store.List(ctx, catalog.Configurations)
	if err != nil {
		return err
	}
	docs := platform.Documents{}
	for _, o := range list {
		if o.Name != docs.ConfigName() {
			continue
		}
		config, err := docs.DecodeConfig(o.Spec)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "configuration %d: %d routes, %d services, %d keys\n", config.Version, config.RouteCount(), len(config.Services), len(config.TeamsByKey))
		return err
	}
	_, err = fmt.Fprintln(out, "no configuration")
	return err
}

// upstreamGroup is the key by which printUpstreams counts upstreams.
type upstreamGroup struct {
	service, version, zone string
	draining               bool
}

func (k upstreamGroup) state() string {
	if k.draining {
		return "leaving"
	}
	return "ready"
}

func printUpstreams(ctx context.Context, store catalog.Source, out io.Writer) error {
	list, _, err := store.List(ctx, catalog.Upstreams)
	if err != nil {
		return err
	}
	counts := make(map[upstreamGroup]int)
	for _, o := range list {
		u, err := platform.Documents{}.DecodeUpstream(o.Name, o.Spec, time.Now())
		if err != nil {
			fmt.Fprintf(out, "entry %s is not a valid upstream: %s\n", o.Name, logs.Err(err))
			continue
		}
		counts[upstreamGroup{u.Service, u.Version, u.Zone, u.Leaving}]++
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tversion\tzone\tstate\tupstreams")
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b upstreamGroup) int {
		return slices.Compare([]string{a.service, a.version, a.zone, a.state()}, []string{b.service, b.version, b.zone, b.state()})
	})
	for _, k := range keys {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", k.service, k.version, k.zone, k.state(), counts[k])
	}
	return w.Flush()
}

func printRollOuts(ctx context.Context, store catalog.Source, out io.Writer) error {
	list, _, err := store.List(ctx, catalog.RollOuts)
	if err != nil {
		return err
	}
	for _, o := range list {
		order, err := platform.Documents{}.DecodeRollOut(o.Spec, o.Status)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "roll-out of %s to %s in %v: %s\n", order.Service, order.NewVersion, order.Duration, order.Phase)
	}
	return nil
}

func printWithdrawals(ctx context.Context, store catalog.Source, out io.Writer) error {
	list, _, err := store.List(ctx, catalog.Withdrawals)
	if err != nil {
		return err
	}
	for _, o := range list {
		fmt.Fprintf(out, "zone %s is withdrawn\n", o.Name)
	}
	return nil
}
