package load

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// billLossWindowMS is the time before a router is killed in which the bills of
// its responses may be lost, in milliseconds: the router collects bills for
// 200 ms, or 30 ms per VM if that is longer, and then sends them to two agents.
const billLossWindowMS = 1000

// RouterKill is a router that was killed without a chance to shut down.
type RouterKill struct {
	// Target is the router's URL.
	Target string
	// AtMS is the time of the kill, in Unix milliseconds.
	AtMS int64
}

// UnmarshalText parses the form URL@time.
func (k *RouterKill) UnmarshalText(b []byte) error {
	target, at, ok := strings.Cut(string(b), "@")
	ms, err := strconv.ParseInt(at, 10, 64)
	if !ok || err != nil {
		return trace.Wrap(result.New(result.SettingsInvalid, "invalid router kill %q: expected URL@time in Unix milliseconds", b))
	}
	*k = RouterKill{target, ms}
	return nil
}

// possiblyLostBills returns the identities of bills that killed routers may
// have lost. It does not apply to duplicate bills, which are always violations.
func (e *Evidence) possiblyLostBills() map[string]bool {
	out := map[string]bool{}
	for i := range e.Run.Records {
		r := &e.Run.Records[i]
		endMS := float64(e.Run.StartMS) + r.DueMS + r.TotalMS
		for _, k := range e.RouterKills {
			beforeKillMS := float64(k.AtMS) - endMS
			if r.Target == k.Target && r.OK() && beforeKillMS >= 0 && beforeKillMS <= billLossWindowMS {
				out[r.billID()] = true
			}
		}
	}
	return out
}

// billID returns the identity of the record's bill.
func (r *Record) billID() string {
	if r.Kind == Write {
		return r.Key
	}
	return r.ID
}
