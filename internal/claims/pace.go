package claims

import "time"

// pacer keeps the fleet's journal writes near Limits.WriteRate without messages
// between VMs: every VM has an equal share of the rate. Writes above the share
// add debt, which is paid off at the rate of the share. The debt lengthens the
// time between writes up to maxIntervalFactor times Limits.WriteInterval. At that
// maximum the rate may exceed the target, because a claim must not be delayed
// indefinitely to spare the store.
type pacer struct {
	debt      float64 // writes
	updatedAt time.Time
}

const (
	maxIntervalFactor = 8
	// debtThreshold is the debt, in writes, up to which the interval is not
	// lengthened: the home of a new journal writes often for BucketDuration and
	// rarely afterwards.
	debtThreshold = 100
	// debtPerInterval is the debt, in writes, that adds one Limits.WriteInterval
	// to the time between writes.
	debtPerInterval = 2
)

func (p *pacer) addWrite(now time.Time, share float64) {
	p.decay(now, share)
	p.debt = min(p.debt+1, debtThreshold+debtPerInterval*maxIntervalFactor)
}

func (p *pacer) decay(now time.Time, share float64) {
	if now.After(p.updatedAt) {
		p.debt = max(0, p.debt-share*now.Sub(p.updatedAt).Seconds())
		p.updatedAt = now
	}
}

// writeRateShare returns this process's share of the write rate, in writes per
// second.
func (c *Core) writeRateShare() float64 {
	return c.limits.TargetWriteRate / float64(max(1, len(c.members.alive)))
}

// writeInterval returns the current minimum time between two writes of one
// journal.
func (c *Core) writeInterval() time.Duration {
	c.pacer.decay(c.now, c.writeRateShare())
	factor := min(maxIntervalFactor, 1+max(0, c.pacer.debt-debtThreshold)/debtPerInterval)
	return time.Duration(factor * float64(c.limits.WriteInterval))
}
