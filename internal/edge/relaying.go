package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/relay"
)

const (
	// ownWatchDelay is how long a VM that reads the store waits for its own
	// watch to deliver a change that a peer has announced. The watch usually
	// delivers it at about the same time, so that no request to the peer is
	// needed.
	ownWatchDelay = 200 * time.Millisecond
	// nextPeerDelay is the delay after a fetch that did not bring this VM up to
	// date. The next peer most likely lacks the same changes at first.
	nextPeerDelay = 100 * time.Millisecond
	// verdictDelayPerRank, multiplied by a VM's rank in its zone, is the delay
	// before the VM writes a verdict, so that the VMs do not all write it.
	// maxVerdictDelay limits that delay. It is also the delay of VMs that do not
	// watch the store.
	verdictDelayPerRank = 150 * time.Millisecond
	maxVerdictDelay     = 1500 * time.Millisecond
)

// relayState decides whether this VM reads the store, based on the digests that
// the VMs exchange.
type relayState struct {
	mu       sync.Mutex
	core     *relay.Core
	decision relay.Decision
	// newerPeer passes a peer that has newer changes to fetchFromPeers; at most
	// one is pending.
	newerPeer chan newerPeer
}

// newerPeer is a peer whose digest is newer than this VM's copy, or that uses a newer
// configuration.
type newerPeer struct {
	address       string
	sameZone      bool
	digest        *relay.Digest
	receivedAt    time.Time
	configVersion uint64
}

func newRelayState(config relay.Config) *relayState {
	return &relayState{core: relay.New(config), newerPeer: make(chan newerPeer, 1)}
}

// receiveDigest applies a peer's digest.
func (f *Follower) receiveDigest(now time.Time, m gossip.Message) {
	if m.Digest == nil {
		return
	}
	f.lag.announce(now, m.ConfigVersion)
	local := f.localCopy()
	f.relay.mu.Lock()
	behind := f.relay.core.Receive(now, m.Digest, local)
	if m.StoreTroubleMS > 0 && m.From.Zone == f.zone {
		f.relay.core.Trouble(now.Add(-time.Duration(m.StoreTroubleMS) * time.Millisecond))
	}
	f.relay.mu.Unlock()
	f.group.PeerConfirmed(now.Add(-time.Duration(m.Digest.AgeMS) * time.Millisecond))
	peer := newerPeer{address: m.From.Address, sameZone: m.From.Zone == f.zone, digest: m.Digest, receivedAt: now, configVersion: m.ConfigVersion}
	if !behind && !f.isBehind(peer) || !f.currentReadDecision().FetchesFromPeer(peer.sameZone) {
		return
	}
	select {
	case f.relay.newerPeer <- peer:
	default: // the pending peer most likely has the same changes
	}
}

// isBehind reports whether a peer has changes that this VM lacks.
func (f *Follower) isBehind(peer newerPeer) bool {
	return peer.digest.NewerThan(f.localCopy()) || peer.configVersion > f.proxy.configVersion()
}

// localCopy describes this VM's copy of the store.
func (f *Follower) localCopy() relay.Copy {
	cache := f.group.Cache()
	return relay.Copy{Era: cache.Era(), Revisions: cache.LatestRevisions()}
}

// localDigest returns the digest that this VM sends to its peers.
func (f *Follower) localDigest(now time.Time) *relay.Digest {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	f.relay.core.Confirm(f.group.LastConfirmed())
	return f.relay.core.Digest(now, f.localCopy())
}

// storeTrouble returns the time since a VM of this zone last tried to read the store
// without success, or false if none did lately.
func (f *Follower) storeTrouble(now time.Time) (time.Duration, bool) {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.relay.core.TroubleAge(now)
}

// updateReadDecision decides whether this VM reads the store, given the live VMs
// of its zone and the number of zones.
func (f *Follower) updateReadDecision(now time.Time, liveInZone []string, zones int) {
	f.relay.mu.Lock()
	f.relay.core.Confirm(f.group.LastConfirmed())
	if f.group.TriesInVain() {
		f.relay.core.Trouble(now)
	}
	d := f.relay.core.Decide(now, relay.View{Zone: liveInZone, Zones: zones, Loaded: f.Ready(), Late: f.lag.behindFor(now)})
	becomesLate := d.Reason == relay.Late && !f.relay.decision.Watches
	changed := d.Watches != f.relay.decision.Watches || f.relay.decision.Reason == ""
	f.relay.decision = d
	f.relay.mu.Unlock()
	f.proxy.metrics.readReason.Store(&d.Reason)
	if changed {
		klog.InfoS("relay: decided whether this VM reads the store", "reads", d.Watches, "because", d.Reason, "rank", d.Rank, "zoneVMs", len(liveInZone), "proofAge", d.Staleness.Milliseconds())
	}
	if becomesLate {
		f.group.Relist(catalog.Configurations)
	}
	f.group.SetMode(watchMode(d))
	f.group.SetProberWait(d.ConfirmInterval)
	others := len(liveInZone) - 1 + zones - 1 // at least one VM in each other zone
	if limit := f.maxWatchWait(now, others); f.group.SetMaxWait(limit) {
		klog.InfoS("relay: limit of the waits of all watches changed; zero means none", "limit", limit, "others", others)
	}
}

// minTellingVMs is the number of other live VMs from which on a VM relies on them to tell
// what a watch of its own misses: the watch of one of them may be silent as well.
const minTellingVMs = 2

// maxWatchWait returns the limit of the waits of all watches, given the least number of
// other live VMs; zero for none.
func (f *Follower) maxWatchWait(now time.Time, others int) time.Duration {
	if others >= minTellingVMs {
		f.aloneSince = now
		return 0
	}
	if now.Sub(f.aloneSince) < f.bounds.StabilityWindow {
		return 0 // a VM that has just started does not know the others yet
	}
	return shareOf(shortMaxWaitShare, f.bounds.StabilityWindow)
}

// watchMode returns the mode of the watchers under a decision.
func watchMode(d relay.Decision) catalog.Mode {
	switch {
	case d.Watches:
		return catalog.Watching
	case d.Lists:
		return catalog.Listing
	}
	return catalog.Idle
}

// currentReadDecision returns the latest decision on whether this VM reads the
// store.
func (f *Follower) currentReadDecision() relay.Decision {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.relay.decision
}

func (f *Follower) readsStoreGauge() float64 {
	if f.currentReadDecision().Watches {
		return 1
	}
	return 0
}

func (f *Follower) storeAgeGauge() float64 { return f.currentReadDecision().Staleness.Seconds() }

// verdictDelay returns how long this VM waits for others to write a verdict
// before it writes the verdict itself.
func (f *Follower) verdictDelay() time.Duration {
	d := f.currentReadDecision()
	if !d.Watches {
		return maxVerdictDelay
	}
	return min(time.Duration(d.Rank)*verdictDelayPerRank, maxVerdictDelay)
}

// fetchFromPeers fetches changes that this VM lacks from its peers until ctx
// ends. It does not retry a peer that does not respond: another peer with newer
// changes soon announces them, and if there is none, the last confirmation
// becomes too old and this VM reads the store itself.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	client := newStateClient(f.dialPeer)
	for {
		var peer newerPeer
		select {
		case <-ctx.Done():
			return
		case peer = <-f.relay.newerPeer:
		}
		// A VM that is not ready, or that can't reach the store, fetches at once.
		if f.currentReadDecision().Watches && f.Ready() && !f.group.StoreUnavailable() {
			if !ctxwait.For(ctx, ownWatchDelay) {
				return
			}
		}
		for f.isBehind(peer) && f.fetchFrom(ctx, client, peer) {
			// A response holds only the oldest missing changes, so fetch until
			// up to date.
		}
		f.confirmBy(peer)
		if f.isBehind(peer) && !ctxwait.For(ctx, nextPeerDelay) {
			return
		}
	}
}

// confirmBy lets a peer's digest confirm this VM's copy, which may by now contain all
// changes of the peer's. While changes keep coming, the next digest is most likely
// newer again.
func (f *Follower) confirmBy(peer newerPeer) {
	local := f.localCopy()
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	f.relay.core.Receive(peer.receivedAt, peer.digest, local)
}

// fetchFrom fetches a peer's state and reports whether it contained any full
// list, object or deletion.
func (f *Follower) fetchFrom(ctx context.Context, client *http.Client, peer newerPeer) bool {
	start := time.Now()
	state, err := f.fetchState(ctx, client, peer)
	f.proxy.metrics.observeStateFetch(err, time.Since(start))
	if err != nil {
		klog.InfoS("peers: state not fetched", "from", peer.address, "took", time.Since(start), "err", logs.Err(err))
		return false
	}
	return f.applyState(peer.address, state)
}

// newRelayConfig returns the constant inputs of the decision whether this VM
// reads the store. DrainPeriod counts as a time limit for changes, because a
// draining upstream stops serving after it.
func newRelayConfig(o Options, startedAt time.Time) relay.Config {
	b := o.Settings.Bounds
	return relay.Config{
		VM: o.Settings.Name, PropagationLimit: max(min(b.MaxConfigApplyTime, b.DrainPeriod), minTimeLimit), StartedAt: startedAt,
		Standalone: len(o.Settings.SeedAddresses) == 0,
		Seed:       slices.Contains(o.Settings.SeedAddresses, o.Settings.PeerAddress),
	}
}
