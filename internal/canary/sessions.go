package canary

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// sessionEntries bounds the sessions that are remembered.
const sessionEntries = 4096

type pin struct {
	version string
	at      time.Time
}

// sessions remembers on which version each recent session runs.
type sessions struct {
	ttl  time.Duration
	pins *simplelru.LRU[string, pin]
}

func newSessions(ttl time.Duration) *sessions {
	pins, err := simplelru.NewLRU[string, pin](sessionEntries, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &sessions{ttl: ttl, pins: pins}
}

// version of a session; empty when it is new or has lapsed.
func (s *sessions) version(now time.Time, service, session string) string {
	p, ok := s.pins.Get(service + "\x00" + session)
	if !ok || now.Sub(p.at) > s.ttl {
		return ""
	}
	return p.version
}

func (s *sessions) note(now time.Time, service, session, version string) {
	s.pins.Add(service+"\x00"+session, pin{version, now})
}
