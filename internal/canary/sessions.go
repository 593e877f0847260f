package canary

import (
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// sessionEntries bounds the sessions that are remembered.
const maxSessions = 4096

type pin struct {
	version  string
	lastUsed time.Time
}

// sessions remembers on which version each recent session runs.
type sessions struct {
	ttl  time.Duration
	pins *simplelru.LRU[string, pin]
}

func newSessions(ttl time.Duration) *sessions {
	pins, err := simplelru.NewLRU[string, pin](maxSessions, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &sessions{ttl: ttl, pins: pins}
}

// version of a session; empty when it is new or has lapsed.
func (s *sessions) version(now time.Time, service, session string) string {
	p, ok := s.pins.Get(service + "\x00" + session)
	if !ok || now.Sub(p.lastUsed) > s.ttl {
		return ""
	}
	return p.version
}

func (s *sessions) record(now time.Time, service, session, version string) {
	s.pins.Add(service+"\x00"+session, pin{version, now})
}

// on lists the recent sessions of a service that are wanted, by name and version.
func (s *sessions) matching(now time.Time, service string, matchSession, matchVersion func(string) bool) []string {
	var out []string
	for _, key := range s.pins.Keys() {
		pinnedService, session, _ := strings.Cut(key, "\x00")
		if pinnedService != service || !matchSession(session) {
			continue
		}
		if p, ok := s.pins.Peek(key); ok && matchVersion(p.version) && now.Sub(p.lastUsed) <= s.ttl {
			out = append(out, session)
		}
	}
	return out
}
