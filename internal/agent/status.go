package agent

import (
	"net/http"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/operator"
	"github.com/cranberrypier/cranberrypier/internal/rollout"
)

func (o *operators) getStatus(w http.ResponseWriter, r *http.Request) {
	d := o.distribution.Current()
	view := o.hub.View()
	out := operator.Status{
		VM: o.settings.VM, Zone: o.settings.Zone, Router: o.settings.RouterCallers, Generation: d.Generation, Digest: d.Digest,
		Members: []operator.Member{}, Zones: []operator.Zone{}, RollOuts: []operator.RollOut{},
	}
	for _, m := range o.fleet.listMembers(r.Context(), view) {
		out.Members = append(out.Members, operator.Member{
			VM: m.VM, Zone: m.Zone, Status: m.Status, Generation: m.Generation,
			RouterUp: m.RouterUp, Incarnation: m.Incarnation,
		})
	}
	if d.Parsed != nil {
		for _, z := range d.Parsed.Zones {
			out.Zones = append(out.Zones, operator.Zone{
				Name: z.Name, Withdrawn: z.Withdrawn, Live: countLiveInZone(view, z.Name), Share: zoneShare(z.Withdrawn),
			})
		}
	}
	for _, s := range o.hub.Shares() {
		out.RollOuts = append(out.RollOuts, rollOutStatus(s))
	}
	at, detail := o.distribution.LastResponse()
	out.Platform = operator.Platform{Reachable: detail == "", LastAnswerMS: time.Since(at).Milliseconds(), Detail: detail}
	writeJSON(w, out)
}

func countLiveInZone(v membership.View, zone string) int {
	n := 0
	for _, m := range v.Members {
		if m.Zone == zone && (m.Status == membership.Alive || m.Status == membership.Suspect) {
			n++
		}
	}
	return n
}

func zoneShare(takenOut bool) float64 {
	if takenOut {
		return 0
	}
	return 1
}

func rollOutStatus(s rollout.Share) operator.RollOut {
	out := operator.RollOut{Model: s.Model, Version: s.Version, Share: s.Share, State: "running", Reason: s.Reason}
	switch {
	case s.Settled:
		out.State = "settled"
	case s.NotAfter.IsZero():
		out.State = "waiting"
	case s.Halted:
		out.State = "halted"
	case time.Now().After(s.NotAfter):
		out.State, out.Share = "lapsed", 0
	}
	return out
}
