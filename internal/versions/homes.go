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

// requestPin sends a request to the session's home, or to the backup VM if the
// home does not answer. The result fromHome is true for the home's own answer;
// an answer of the backup is checked with the home at the session's next request.
func (s *Service) requestPin(r PinRequest) (a PinAnswer, fromHome, ok bool) {
	homes := s.homes(r.Proposed)
	for i, h := range homes {
		r.ToBackup = i > 0
		if h.VM == s.cfg.VM {
			return s.handlePinRequest(r, homes), i == 0, true
		}
		if s.send(h.Router, r, &a, pinTimeout) {
			return a, i == 0, true
		}
	}
	return PinAnswer{}, false, false
}

func (s *Service) send(addr string, r PinRequest, a *PinAnswer, timeout time.Duration) bool {
	if s.caller == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.caller.Call(ctx, addr, TypePin, r, a) == nil
}

// handlePinRequest answers a request. A home without a pin for the session
// asks the backup VM first, because the session may be new or the home may have
// restarted and lost its pins. The home forwards a pin that changes to the backup.
func (s *Service) handlePinRequest(r PinRequest, homes []membership.Member) PinAnswer {
	backup := ""
	for _, h := range homes {
		if !r.ToBackup && h.VM != s.cfg.VM {
			backup = h.Router
			break
		}
	}
	s.mu.Lock()
	hasPin := s.pins.has(keyOf(r.Proposed))
	s.mu.Unlock()
	forwarded := r
	forwarded.ToBackup = true
	if backup != "" && !hasPin {
		var a PinAnswer
		if s.send(backup, forwarded, &a, pinTimeout/2) {
			// Of two concurrent requests, the one whose answer returns first is stored.
			return s.claimLocally(PinRequest{Proposed: a.Pin}, a.Replaced)
		}
	}
	a := s.claimLocally(r, false)
	if backup != "" && hasPin && a.Replaced {
		s.runInBackground(func() { s.send(backup, forwarded, &PinAnswer{}, pinTimeout) })
	}
	return a
}

func (s *Service) claimLocally(r PinRequest, replaced bool) PinAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.pins.Propose(r)
	a.Replaced = a.Replaced || replaced
	return a
}

// homeCount is the number of VMs that store a named session's pins: the home
// and the backup.
const homeCount = 2

// homes returns the session's home and its backup VM, by rendezvous hashing.
func (s *Service) homes(p Pin) []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := []membership.Member{{VM: s.cfg.VM}}
	scores := []uint64{homeScore(p, s.cfg.VM)}
	for _, m := range s.view.Members {
		if m.VM == s.cfg.VM || m.Status == membership.Dead || m.Status == membership.Leaving {
			continue
		}
		score := homeScore(p, m.VM)
		i := 0
		for i < len(scores) && scores[i] >= score {
			i++
		}
		best = append(best[:i], append([]membership.Member{m}, best[i:]...)...)
		scores = append(scores[:i], append([]uint64{score}, scores[i:]...)...)
		if len(best) > homeCount {
			best, scores = best[:homeCount], scores[:homeCount]
		}
	}
	return best
}

func homeScore(p Pin, vm string) uint64 {
	return xxhash.Sum64String(p.Team + "\x00" + p.Session + "\x00" + vm)
}

// Register installs the handler of the peer message TypePin.
func (s *Service) Register(m peer.Mux) {
	m.Handle(TypePin, func(_ context.Context, _ peer.Identity, body peer.Body) (any, error) {
		var r PinRequest
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, result.New(result.PeerMessageInvalid, "decode pin request: %v", err)
		}
		return s.handlePinRequest(r, s.homes(r.Proposed)), nil
	})
}
