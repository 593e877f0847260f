package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// BlockedStore keeps the records of blocked content in the platform's store.
type BlockedStore interface {
	// LoadBlocked returns the records and their revision; none and zero if there are no
	// records yet.
	LoadBlocked(ctx context.Context) (raw json.RawMessage, revision uint64, err error)
	// SaveBlocked replaces the records if they still have the revision; zero creates them.
	SaveBlocked(ctx context.Context, raw json.RawMessage, revision uint64) error
}

const (
	// blockedCallTimeout limits a call to the store.
	blockedCallTimeout = time.Second
	// blockedTickInterval is how often a VM compares what it blocks with the records.
	blockedTickInterval = 200 * time.Millisecond
	// minBlockedRetry and maxBlockedRetry limit the time between calls that fail, and
	// maxRestoreRetry until the records have been read once: upstreams crash meanwhile.
	minBlockedRetry = 300 * time.Millisecond
	maxBlockedRetry = 10 * time.Second
	maxRestoreRetry = 600 * time.Millisecond
	// minBlockedWriteInterval is the minimum time between writes of one VM.
	minBlockedWriteInterval = 2 * time.Second
	// recheckInterval is how often the first writer reads the records again while it blocks
	// something: the store may have come back from an older copy.
	recheckInterval = 30 * time.Second
	// writerDelay is how long each of the VMs that write waits for the one before it, in
	// the order of their names. Only the first maxWriters write.
	writerDelay = time.Second
	maxWriters  = 5
)

// What was done with the records: the values of the label of pier_blocked_records_total.
const (
	recordsRestored = "restored"
	recordsWritten  = "written"
	recordsDamaged  = "damaged"
)

func newBlockedRecordsCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_blocked_records_total", Help: "Times that the records of blocked content were restored from the store, written there, or found damaged.",
	}, []string{"event"})
}

// blockedKeeper keeps the records in the store up to date and restores them at the start
// of this VM.
type blockedKeeper struct {
	proxy *Proxy
	store BlockedStore
	// tried is called after the first try to read the records.
	tried func()
	// known are the records as this VM last read or wrote them.
	known     json.RawMessage
	readAt    time.Time // when known was read or written
	changedAt time.Time // when what this VM blocks began to differ from known; zero if it does not
	retryAt   time.Time
	retry     time.Duration
}

// run restores the records, retrying while the store is away, and then keeps them until
// ctx ends.
func (k *blockedKeeper) run(ctx context.Context) {
	restored := false
	for {
		if now := time.Now(); !now.Before(k.retryAt) {
			var err error
			switch {
			case !restored:
				_, err = k.load(ctx)
				restored = err == nil
				k.tried()
			case k.isDue(now):
				err = k.update(ctx)
			}
			k.scheduleRetry(time.Now(), err)
		}
		if !ctxwait.For(ctx, blockedTickInterval) {
			return
		}
	}
}

func (k *blockedKeeper) scheduleRetry(now time.Time, err error) {
	if err == nil {
		k.retry = 0
		return
	}
	longest := maxBlockedRetry
	if k.readAt.IsZero() {
		longest = maxRestoreRetry
	}
	k.retry = min(max(2*k.retry, minBlockedRetry), longest)
	k.retryAt = now.Add(k.retry)
	klog.InfoS("poison: the records of blocked content are not up to date", "retryIn", k.retry, "err", logs.Err(err))
}

// load reads the records and applies them. It returns their revision.
func (k *blockedKeeper) load(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, blockedCallTimeout)
	defer cancel()
	raw, revision, err := k.store.LoadBlocked(ctx)
	if err != nil {
		return 0, err
	}
	k.known, k.readAt = raw, time.Now()
	if raw == nil {
		return revision, nil
	}
	k.proxy.mu.Lock()
	n, err := k.proxy.poison.Restore(time.Now(), raw)
	k.proxy.mu.Unlock()
	switch {
	case trace.IsNotImplemented(err):
		return 0, err
	case err != nil:
		k.proxy.metrics.blockedRecords.WithLabelValues(recordsDamaged).Inc()
		klog.ErrorS(err, "poison: the records of blocked content are damaged and are passed over", "code", int(result.BlockedRecordsInvalid))
	case n > 0:
		k.proxy.metrics.blockedRecords.WithLabelValues(recordsRestored).Inc()
		klog.InfoS("poison: blocked content restored from the store", "contents", n)
	}
	return revision, nil
}

// blocked returns what this VM blocks, as records.
func (k *blockedKeeper) blocked(now time.Time) (json.RawMessage, int, error) {
	k.proxy.mu.Lock()
	defer k.proxy.mu.Unlock()
	return k.proxy.poison.Stored(now)
}

// isDue reports whether the records differ from what this VM blocks, and it is its turn to
// write, or whether it is to read them again.
func (k *blockedKeeper) isDue(now time.Time) bool {
	raw, contents, err := k.blocked(now)
	rank := k.proxy.writerRank()
	if err != nil || poison.SameContents(raw, k.known) {
		k.changedAt = time.Time{}
		return contents > 0 && rank == 0 && now.Sub(k.readAt) >= recheckInterval
	}
	if k.changedAt.IsZero() {
		k.changedAt = now
	}
	return rank < maxWriters && now.Sub(k.changedAt) >= time.Duration(rank)*writerDelay
}

// update reads the records, which another VM may have written, and replaces them if they
// still differ.
func (k *blockedKeeper) update(ctx context.Context) error {
	revision, err := k.load(ctx)
	if err != nil {
		return err
	}
	raw, contents, err := k.blocked(time.Now())
	if err != nil || poison.SameContents(raw, k.known) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, blockedCallTimeout)
	defer cancel()
	if err := k.store.SaveBlocked(ctx, raw, revision); err != nil {
		return err
	}
	now := time.Now()
	k.known, k.readAt, k.changedAt, k.retryAt = raw, now, time.Time{}, now.Add(minBlockedWriteInterval)
	k.proxy.metrics.blockedRecords.WithLabelValues(recordsWritten).Inc()
	klog.InfoS("poison: records of blocked content written to the store", "contents", contents)
	return nil
}

// writerRank returns this VM's position among the known VMs, by name.
func (s *Proxy) writerRank() int {
	names := s.fleet.VMNames()
	return max(slices.Index(names, s.forwarder.self), 0)
}
