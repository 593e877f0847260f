package edge

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"k8s.io/klog/v2"
)

// gossipSources connects the service to the gossip with other VMs.
func (s *Service) gossipSources() gossip.Sources {
	return gossip.Sources{
		Loads:     s.fleet.Loads,
		RollOuts:  s.rollOutReports,
		Config:    s.configVersion,
		Crashes:   s.crashMarks,
		Heard:     s.applyMessage,
		Changed:   s.setVMs,
		StartName: incarnationName,
	}
}

func (s *Service) rollOutReports(now time.Time) []canary.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canary.Reports(now)
}

func (s *Service) crashMarks(now time.Time) []poison.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Tell(now)
}

// applyMessage applies another VM's gossip message.
func (s *Service) applyMessage(now time.Time, m gossip.Message) {
	s.fleet.Heard(now, m.From.Name, m.Loads)
	if len(m.RollOuts) == 0 && len(m.Crashes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range m.Crashes {
		s.poison.Add(now, c)
	}
	for _, r := range m.RollOuts {
		if s.canary.Merge(now, r) {
			klog.InfoS("canary: condemned by another VM", "service", r.Service, "target", r.Target, "from", m.From.Name)
		}
	}
}

// setVMs sets the known VMs and the live incarnations.
func (s *Service) setVMs(_ time.Time, known []string, live map[string]bool) {
	s.fleet.SetVMs(known)
	s.budget.SetVMs(len(known))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canary.Forget(live)
}
