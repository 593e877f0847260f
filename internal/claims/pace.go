package claims

import "time"

// pace keeps the writes of the fleet near Limits.WriteRate without a message:
// every VM has an equal share. Writes above the share leave a debt, which the
// share pays off; the debt stretches the time that claims wait for company, up
// to maxStretch times Limits.Interval. Above that the rate exceeds the target:
// a claim is not delayed without end for the sake of the store.
type pacer struct {
	debt      float64 // writes
	updatedAt time.Time
}

const (
	maxIntervalFactor = 8
	// freeDebt is the debt, in writes, that costs no wait: the home of a new
	// journal writes often for a Bucket's time and then hardly any more.
	debtThreshold = 100
	// debtStep is the debt, in writes, that adds one Interval to the wait.
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

// share is this process' part of the write rate, in writes a second.
func (c *Core) writeRateShare() float64 {
	return c.limits.WriteRate / float64(max(1, len(c.members.alive)))
}

// gap is the least time between two writes of one journal at present.
func (c *Core) writeInterval() time.Duration {
	c.pacer.decay(c.now, c.writeRateShare())
	factor := min(maxIntervalFactor, 1+max(0, c.pacer.debt-debtThreshold)/debtPerInterval)
	return time.Duration(factor * float64(c.limits.Interval))
}
