package edge

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"k8s.io/klog/v2"
)

// gossipSources joins the service to the other VMs.
func (s *Service) gossipSources() gossip.Callbacks {
	return gossip.Callbacks{
		Loads:        s.fleet.Loads,
		RollOuts:     s.rollOutReports,
		Config:       s.configVersion,
		Disconnects:  s.crashes,
		OnMessage:    s.heard,
		OnMembership: s.vmsChanged,
		StartName:    startName,
	}
}

func (s *Service) rollOutReports(now time.Time) []canary.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canary.Reports(now)
}

func (s *Service) crashes(now time.Time) []poison.Disconnect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Recent(now)
}

// heard takes what another VM tells.
func (s *Service) heard(now time.Time, m gossip.Message) {
	s.fleet.SetRemoteLoads(now, m.From.Name, m.Loads)
	if len(m.RollOuts) == 0 && len(m.Disconnects) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range m.Disconnects {
		s.poison.Add(now, c)
	}
	for _, r := range m.RollOuts {
		if s.canary.Merge(now, r) {
			klog.InfoS("canary: condemned by another VM", "service", r.Service, "target", r.Target, "from", m.From.Name)
		}
	}
}

// vmsChanged takes the VMs that are known and the starts that are live.
func (s *Service) vmsChanged(_ time.Time, known []string, live map[string]bool) {
	s.fleet.SetVMs(known)
	s.budget.SetVMCount(len(known))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.ClearDepartedVMs(live)
}
