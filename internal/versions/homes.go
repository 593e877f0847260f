package versions

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/fxamacker/cbor/v2"
)

// ask puts a request to the session's home, or to the VM next to it if the home
// does not answer. Final is true for the home's own answer; another one is
// checked with the home again at the session's next request.
func (s *Service) ask(r PinRequest) (a PinAnswer, final, ok bool) {
	homes := s.homes(r.Proposed)
	for i, h := range homes {
		r.ToBackup = i > 0
		if h.VM == s.cfg.VM {
			return s.claim(r, homes), i == 0, true
		}
		if s.send(h.Router, r, &a, pinTimeout) {
			return a, i == 0, true
		}
	}
	return PinAnswer{}, false, false
}

func (s *Service) send(addr string, r PinRequest, a *PinAnswer, within time.Duration) bool {
	if s.caller == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.caller.Call(ctx, addr, TypePin, r, a) == nil
}

// claim answers a request. A home that does not know the session, because it is
// new or because the home lost its memory, asks the next VM first; a pin that
// changes is passed on to it.
func (s *Service) claim(r PinRequest, homes []membership.Member) PinAnswer {
	next := ""
	for _, h := range homes {
		if !r.ToBackup && h.VM != s.cfg.VM {
			next = h.Router
			break
		}
	}
	s.mu.Lock()
	known := s.pins.has(keyOf(r.Proposed))
	s.mu.Unlock()
	asked := r
	asked.ToBackup = true
	if next != "" && !known {
		var a PinAnswer
		if s.send(next, asked, &a, pinTimeout/2) {
			// Of two askers at once the first one to come back is kept.
			return s.store(PinRequest{Proposed: a.Pin}, a.Replaced)
		}
	}
	a := s.store(r, false)
	if next != "" && known && a.Replaced {
		s.background(func() { s.send(next, asked, &PinAnswer{}, pinTimeout) })
	}
	return a
}

func (s *Service) store(r PinRequest, replaced bool) PinAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.pins.Claim(r)
	a.Replaced = a.Replaced || replaced
	return a
}

// homeCount is the number of VMs that keep a named session's pins.
const homeCount = 2

// homes returns the session's home and the next VM, by rendezvous hashing.
func (s *Service) homes(p Pin) []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := []membership.Member{{VM: s.cfg.VM}}
	scores := []uint64{homeScore(p, s.cfg.VM)}
	for _, m := range s.view.Members {
		if m.VM == s.cfg.VM || m.Status == membership.Dead || m.Status == membership.Leaving {
			continue
		}
		v := homeScore(p, m.VM)
		i := 0
		for i < len(scores) && scores[i] >= v {
			i++
		}
		best = append(best[:i], append([]membership.Member{m}, best[i:]...)...)
		scores = append(scores[:i], append([]uint64{v}, scores[i:]...)...)
		if len(best) > homeCount {
			best, scores = best[:homeCount], scores[:homeCount]
		}
	}
	return best
}

func homeScore(p Pin, vm string) uint64 {
	return xxhash.Sum64String(p.Team + "\x00" + p.Session + "\x00" + vm)
}

// Register serves the peer message at this VM.
func (s *Service) Register(m peer.Mux) {
	m.Handle(TypePin, func(_ context.Context, _ peer.Identity, body peer.Body) (any, error) {
		var r PinRequest
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, result.New(result.PeerFrame, "pin request: %v", err)
		}
		return s.claim(r, s.homes(r.Proposed)), nil
	})
}
