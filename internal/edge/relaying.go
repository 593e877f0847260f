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
	ownWatchDelay = 200 * time.Millisecond
	// askPause follows a question that left this VM behind: the next hint most
	// likely does as well.
	fetchRetryDelay = 100 * time.Millisecond
	// verdictPause is the pause between the VMs of a zone in which they write a
	// verdict; verdictMost is the longest time that one leaves it to others.
	verdictStagger  = 150 * time.Millisecond
	maxVerdictDelay = 1500 * time.Millisecond
)

// relaying decides who reads the store, from what the VMs tell each other.
type relayState struct {
	mu       sync.Mutex
	core     *relay.Core
	decision relay.Decision
	// hints are the VMs that know more; one waits at most.
	newerPeers chan newerPeer
}

// hint is another VM's word that it knows more.
type newerPeer struct {
	address string
	view    *relay.View
}

func newRelayState(config relay.Config) *relayState {
	return &relayState{core: relay.New(config), newerPeers: make(chan newerPeer, 1)}
}

// hear takes another VM's view.
func (f *Follower) receiveView(now time.Time, m gossip.Message) {
	if m.View == nil {
		return
	}
	last := f.group.Cache().Last()
	f.relay.mu.Lock()
	behind := f.relay.core.Heard(now, m.View, last)
	f.relay.mu.Unlock()
	f.group.ProvedElsewhere(now.Add(-time.Duration(m.View.AgeMS) * time.Millisecond))
	if !behind || !f.currentDecision().Asks(m.From.Zone == f.zone) {
		return
	}
	select {
	case f.relay.newerPeers <- newerPeer{address: m.From.Address, view: m.View}:
	default: // the VM that is asked first most likely knows the same
	}
}

// view is what this VM tells others.
func (f *Follower) localView(now time.Time) *relay.View {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	f.relay.core.Proved(f.group.Proved())
	return f.relay.core.View(now, f.group.Cache().Last())
}

// decide says whether this VM reads the store, with the live VMs of its zone.
func (f *Follower) updateDecision(now time.Time, liveInZone []string) {
	f.relay.mu.Lock()
	f.relay.core.Proved(f.group.Proved())
	d := f.relay.core.Decide(now, liveInZone)
	changed := d.Reads != f.relay.decision.Reads || f.relay.decision.Reason == ""
	f.relay.decision = d
	f.relay.mu.Unlock()
	if changed {
		klog.InfoS("relay: decided", "reads", d.Reads, "because", d.Reason, "rank", d.Rank, "zoneVMs", len(liveInZone), "proofAge", d.Age.Milliseconds())
	}
	f.group.SetMode(watchMode(d))
	f.group.Vary(d.Shared)
}

// modeOf is what the watchers do under a decision.
func watchMode(d relay.Decision) catalog.Mode {
	switch {
	case d.Reads:
		return catalog.Watching
	case d.Lists:
		return catalog.Listing
	}
	return catalog.Parked
}

// decided is the decision in force.
func (f *Follower) currentDecision() relay.Decision {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.relay.decision
}

func (f *Follower) readsStoreGauge() float64 {
	if f.currentDecision().Reads {
		return 1
	}
	return 0
}

func (f *Follower) storeAgeGauge() float64 { return f.currentDecision().Age.Seconds() }

// patienceWithVerdict is how long this VM leaves the writing of a verdict to others.
func (f *Follower) verdictDelay() time.Duration {
	d := f.currentDecision()
	if !d.Reads {
		return maxVerdictDelay
	}
	return min(time.Duration(d.Rank)*verdictStagger, maxVerdictDelay)
}

// askPeers takes from other VMs what they know and this one does not, until ctx
// ends. A VM that does not answer is not asked again by itself: the next one
// that knows more tells so soon, and without any the proof gets old.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	client := newStateClient()
	for {
		var peer newerPeer
		select {
		case <-ctx.Done():
			return
		case peer = <-f.relay.newerPeers:
		}
		if f.currentDecision().Reads && f.Ready() && !f.group.Away() {
			if !pause.For(ctx, ownWatchDelay) {
				return
			}
		}
		for peer.view.Behind(f.group.Cache().Last()) && f.fetchFrom(ctx, client, peer.address) {
			// An answer tells of the oldest changes only, so more are asked for.
		}
		if peer.view.Behind(f.group.Cache().Last()) && !pause.For(ctx, fetchRetryDelay) {
			return
		}
	}
}

// ask takes what another VM tells and reports whether there was anything new.
func (f *Follower) fetchFrom(ctx context.Context, client *http.Client, address string) bool {
	state, err := f.fetchState(ctx, client, address)
	if err != nil {
		klog.InfoS("peers: state not fetched", "from", address, "err", logs.Err(err))
		return false
	}
	return f.applyState(address, state)
}

// relayConfig is what the decision depends on.
func newRelayConfig(o Options, began time.Time) relay.Config {
	b := o.Settings.Bounds
	return relay.Config{
		VM: o.Settings.Name, Bound: max(min(b.ConfigApply, b.DrainTimeout), minBound), Began: began,
		Alone: len(o.Settings.Seeds) == 0,
	}
}
