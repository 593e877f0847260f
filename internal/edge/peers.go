package edge

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"k8s.io/klog/v2"
)

// gossipCallbacks connects the proxy to the gossip with other VMs.
func (s *Proxy) gossipCallbacks() gossip.Callbacks {
	return gossip.Callbacks{
		Loads:           s.fleet.VMLoads,
		RollOuts:        s.rollOutReports,
		IsUrgent:        s.isUrgent,
		ConfigVersion:   s.configVersion,
		Suspects:        s.suspects,
		PeerAppeared:    s.shareBlockedAgain,
		Departures:      s.fleet.RecentDepartures,
		Unreachable:     s.forwarder.reportedServices,
		Stopping:        func() bool { return s.stop.Load() != nil },
		Brittle:         s.fleet.BrittleReports,
		Limits:          s.fleet.LimitReports,
		PrefillTimes:    s.fleet.PrefillReports,
		CallTimes:       s.fleet.CallTimeReports,
		OnMessage:       s.applyMessage,
		OnMembership:    s.setVMs,
		IncarnationName: incarnationName,
	}
}

func (s *Proxy) rollOutReports(now time.Time) []canary.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canary.Reports(now)
}

func (s *Proxy) isUrgent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canary.IsUrgent(now) || s.poison.IsUrgent(now)
}

// applyMessage applies another VM's gossip message.
func (s *Proxy) applyMessage(now time.Time, m gossip.Message) {
	s.forwarder.recordReport(now, m)
	if len(m.Suspects) == 0 {
		s.fleet.SetRemoteLoads(now, m.From.Name, m.Loads)
	}
	s.mergeBrittle(now, m.From.Name, m.Brittle)
	s.mergeRateLimits(now, m.From.Name, m.Limits)
	s.fleet.MergePrefill(m.PrefillTimes)
	s.fleet.MergeCallTimes(now, m.CallTimes)
	for _, d := range m.Departures {
		if s.fleet.RecordLeaving(now, d, false) {
			klog.InfoS("fleet: another VM reported that the upstream is leaving", "upstream", d.Upstream, "born", d.Incarnation, "from", m.From.Name)
		}
	}
	if len(m.RollOuts) == 0 && len(m.Suspects) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Merge(now, m.Suspects)
	for _, r := range m.RollOuts {
		if s.canary.Merge(now, r) {
			klog.InfoS("canary: another VM judged the new version as bad", "service", r.Service, "target", r.NewVersion, "from", m.From.Name)
		}
	}
}

// setVMs sets the known VMs and the live incarnations.
func (s *Proxy) setVMs(now time.Time, known []string, live map[string]bool) {
	s.fleet.SetVMs(known)
	s.forwarder.retain(known)
	s.budget.SetVMCount(now, len(known))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.ClearDepartedVMs(live)
}
