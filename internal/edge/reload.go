package edge

import (
	"context"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// settingsCheck is the pause between two looks at the settings, which may
// change without a signal.
const settingsCheckInterval = 5 * time.Second

// Reload is told when the settings should be read again at once.
type Reload <-chan struct{}

// follow reads the settings again on request and from time to time. Peers'
// addresses change in place; what else differs holds from the next start.
func (a *App) watchSettings(ctx context.Context, reload Reload, load func() (*vm.Settings, error), setSeeds func([]string)) {
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
			klog.InfoS("process: settings not read, those in force stay", "asked", requested, "err", logs.Err(err))
			continue
		}
		changed := !reflect.DeepEqual(next, current)
		if changed {
			setSeeds(next.Seeds)
			current = next
		}
		if changed || requested {
			klog.InfoS("process: reload", "asked", requested, "changed", changed, "seeds", next.Seeds)
		}
	}
}
