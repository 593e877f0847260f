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
const settingsCheck = 5 * time.Second

// Reload is told when the settings should be read again at once.
type ReloadSignal <-chan struct{}

// follow reads the settings again on request and from time to time. Peers'
// addresses change in place; what else differs holds from the next start.
func (a *App) follow(ctx context.Context, reload ReloadSignal, load func() (*vm.Settings, error), seeds func([]string)) {
	current := a.o.Settings
	tick := time.NewTicker(settingsCheck)
	defer tick.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			asked = true
		case <-tick.C:
		}
		next, err := load()
		if err != nil {
			klog.InfoS("process: settings not read, those in force stay", "asked", asked, "err", logs.Err(err))
			continue
		}
		changed := !reflect.DeepEqual(next, current)
		if changed {
			seeds(next.SeedAddresses)
			current = next
		}
		if changed || asked {
			klog.InfoS("process: reload", "asked", asked, "changed", changed, "seeds", next.SeedAddresses)
		}
	}
}
