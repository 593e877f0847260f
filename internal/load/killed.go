package load

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// billWindowMS is how long before its end without warning a router's answers
// may lack their bills, in milliseconds: bills gather for up to 200 ms and are
// then handed to two agents.
const billLossWindowMS = 1000

// Killed is a router that ended without warning.
type Killed struct {
	// Target is the router's URL.
	Target string
	// AtMS is when, in Unix milliseconds.
	AtMS int64
}

// UnmarshalText reads the form URL@time.
func (k *Killed) UnmarshalText(b []byte) error {
	target, at, ok := strings.Cut(string(b), "@")
	ms, err := strconv.ParseInt(at, 10, 64)
	if !ok || err != nil {
		return trace.Wrap(result.New(result.SettingsInvalid, "%q is no kill, expected URL@time in Unix milliseconds", b))
	}
	*k = Killed{target, ms}
	return nil
}

// excused lists the bills that a router's end without warning may have lost.
// Nothing excuses a second bill.
func (e *Evidence) possiblyLostBills() map[string]bool {
	out := map[string]bool{}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		endMS := float64(e.Run.StartMS) + r.DueMS + r.TotalMS
		for _, k := range e.Killed {
			beforeKillMS := float64(k.AtMS) - endMS
			if r.Target == k.Target && r.OK() && beforeKillMS >= 0 && beforeKillMS <= billLossWindowMS {
				out[r.billID()] = true
			}
		}
	}
	return out
}

// billID is the identity of the record's bill.
func (r *Record) billID() string {
	if r.Kind == Write {
		return r.Key
	}
	return r.ID
}
