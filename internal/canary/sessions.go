package canary

import (
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxSessions is the maximum number of sessions recorded.
const maxSessions = 4096

type pin struct {
	version  string
	lastUsed time.Time
}

// sessions records the version that each recent session uses.
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

// version returns the version that a session uses; empty if the session is new or
// has expired.
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

// matching returns the recent sessions of a service for which both functions
// return true.
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
