package claims

import "time"

// pace keeps the writes of the fleet near Limits.WriteRate without a message:
// every VM has an equal share. Writes above the share leave a debt, which the
// share pays off; the debt stretches the time that claims wait for company, up
// to maxStretch times Limits.Interval. Above that the rate exceeds the target:
// a claim is not delayed without end for the sake of the store.
type pace struct {
	debt float64 // writes
	at   time.Time
}

const (
	maxStretch = 8
	// freeDebt is the debt, in writes, that costs no wait: the home of a new
	// journal writes often for a Bucket's time and then hardly any more.
	freeDebt = 100
	// debtStep is the debt, in writes, that adds one Interval to the wait.
	debtStep = 2
)

func (p *pace) spend(now time.Time, share float64) {
	p.decay(now, share)
	p.debt = min(p.debt+1, freeDebt+debtStep*maxStretch)
}

func (p *pace) decay(now time.Time, share float64) {
	if now.After(p.at) {
		p.debt = max(0, p.debt-share*now.Sub(p.at).Seconds())
		p.at = now
	}
}

// share is this process' part of the write rate, in writes a second.
func (c *Core) share() float64 {
	return c.limits.WriteRate / float64(max(1, len(c.members.alive)))
}

// gap is the least time between two writes of one journal at present.
func (c *Core) gap() time.Duration {
	c.pace.decay(c.now, c.share())
	stretch := min(maxStretch, 1+max(0, c.pace.debt-freeDebt)/debtStep)
	return time.Duration(stretch * float64(c.limits.WriteInterval))
}
