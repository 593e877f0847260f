package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/relay"
)

const (
	// ownWordTime is how long a VM that reads the store leaves a change that
	// another VM told of to its own watch, which mostly hears of it just then.
	ownWordTime = 200 * time.Millisecond
	// askPause follows a question that left this VM behind: the next hint most
	// likely does as well.
	askPause = 100 * time.Millisecond
	// verdictPause is the pause between the VMs of a zone in which they write a
	// verdict; verdictMost is the longest time that one leaves it to others.
	verdictPause = 150 * time.Millisecond
	verdictMost  = 1500 * time.Millisecond
)

// relaying decides who reads the store, from what the VMs tell each other.
type relaying struct {
	mu       sync.Mutex
	core     *relay.Core
	decision relay.Decision
	// hints are the VMs that know more; one waits at most.
	hints chan hint
}

// hint is another VM's word that it knows more.
type hint struct {
	address string
	view    *relay.Digest
}

func newRelaying(config relay.Config) *relaying {
	return &relaying{core: relay.New(config), hints: make(chan hint, 1)}
}

// hear takes another VM's view.
func (f *Follower) hear(now time.Time, m gossip.Message) {
	if m.Digest == nil {
		return
	}
	last := f.group.Cache().LatestRevisions()
	f.relaying.mu.Lock()
	behind := f.relaying.core.Receive(now, m.Digest, last)
	f.relaying.mu.Unlock()
	f.group.PeerConfirmed(now.Add(-time.Duration(m.Digest.AgeMS) * time.Millisecond))
	if !behind || !f.decided().FetchesFromPeer(m.From.Zone == f.zone) {
		return
	}
	select {
	case f.relaying.hints <- hint{address: m.From.Address, view: m.Digest}:
	default: // the VM that is asked first most likely knows the same
	}
}

// view is what this VM tells others.
func (f *Follower) view(now time.Time) *relay.Digest {
	f.relaying.mu.Lock()
	defer f.relaying.mu.Unlock()
	f.relaying.core.Confirm(f.group.LastConfirmed())
	return f.relaying.core.Digest(now, f.group.Cache().LatestRevisions())
}

// decide says whether this VM reads the store, with the live VMs of its zone.
func (f *Follower) decide(now time.Time, zone []string) {
	f.relaying.mu.Lock()
	f.relaying.core.Confirm(f.group.LastConfirmed())
	d := f.relaying.core.Decide(now, zone)
	changed := d.Watches != f.relaying.decision.Watches || f.relaying.decision.Reason == ""
	f.relaying.decision = d
	f.relaying.mu.Unlock()
	if changed {
		klog.InfoS("relay: decided", "reads", d.Watches, "because", d.Reason, "rank", d.Rank, "zoneVMs", len(zone), "proofAge", d.Staleness.Milliseconds())
	}
	f.group.SetMode(modeOf(d))
	f.group.SetJitter(d.SharesReads)
}

// modeOf is what the watchers do under a decision.
func modeOf(d relay.Decision) catalog.Mode {
	switch {
	case d.Watches:
		return catalog.Watching
	case d.Lists:
		return catalog.Listing
	}
	return catalog.Idle
}

// decided is the decision in force.
func (f *Follower) decided() relay.Decision {
	f.relaying.mu.Lock()
	defer f.relaying.mu.Unlock()
	return f.relaying.decision
}

func (f *Follower) readsGauge() float64 {
	if f.decided().Watches {
		return 1
	}
	return 0
}

func (f *Follower) ageGauge() float64 { return f.decided().Staleness.Seconds() }

// patienceWithVerdict is how long this VM leaves the writing of a verdict to others.
func (f *Follower) patienceWithVerdict() time.Duration {
	d := f.decided()
	if !d.Watches {
		return verdictMost
	}
	return min(time.Duration(d.Rank)*verdictPause, verdictMost)
}

// askPeers takes from other VMs what they know and this one does not, until ctx
// ends. A VM that does not answer is not asked again by itself: the next one
// that knows more tells so soon, and without any the proof gets old.
func (f *Follower) askPeers(ctx context.Context) {
	client := stateClient()
	for {
		var h hint
		select {
		case <-ctx.Done():
			return
		case h = <-f.relaying.hints:
		}
		if f.decided().Watches && f.Ready() && !f.group.StoreUnavailable() {
			if !pause.For(ctx, ownWordTime) {
				return
			}
		}
		for h.view.NewerThan(f.group.Cache().LatestRevisions()) && f.ask(ctx, client, h.address) {
			// An answer tells of the oldest changes only, so more are asked for.
		}
		if h.view.NewerThan(f.group.Cache().LatestRevisions()) && !pause.For(ctx, askPause) {
			return
		}
	}
}

// ask takes what another VM tells and reports whether there was anything new.
func (f *Follower) ask(ctx context.Context, client *http.Client, address string) bool {
	state, err := f.fetchState(ctx, client, address)
	if err != nil {
		klog.InfoS("peers: state not fetched", "from", address, "err", logs.Err(err))
		return false
	}
	return f.adopt(address, state)
}

// relayConfig is what the decision depends on.
func relayConfig(o Options, began time.Time) relay.Config {
	b := o.Settings.Bounds
	return relay.Config{
		VM: o.Settings.Name, PropagationLimit: max(min(b.ConfigApplyTimeout, b.DrainTimeout), leastBound), StartedAt: began,
		Standalone: len(o.Settings.SeedAddresses) == 0,
	}
}
