package edge

import (
	"context"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// settingsCheckInterval is the interval at which the settings are read again,
// since they may change without a signal.
const settingsCheckInterval = 5 * time.Second

// ReloadSignal receives a value when the settings are to be read again at once.
type ReloadSignal <-chan struct{}

// watchSettings reads the settings again on request and periodically. Changed
// seed addresses take effect at once; other changes take effect at the next
// start.
func (a *App) watchSettings(ctx context.Context, reload ReloadSignal, load func() (*vm.Settings, error), setSeeds func([]string)) {
	current := a.options.Settings
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			requested = true
		case <-tick.C:
		}
		next, err := load()
		if err != nil {
			klog.InfoS("process: cannot read the settings; the current ones stay in use", "asked", requested, "err", logs.Err(err))
			continue
		}
		changed := !reflect.DeepEqual(next, current)
		if changed {
			setSeeds(next.SeedAddresses)
			current = next
		}
		if changed || requested {
			klog.InfoS("process: settings read again; only changed seed addresses take effect now", "asked", requested, "changed", changed, "seeds", next.SeedAddresses)
		}
	}
}
