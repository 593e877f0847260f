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
// home does not answer. The result confirmed is true if the home answered. A pin
// from the backup is not confirmed, so the session's next request asks the home
// again.
func (s *Service) requestPin(r PinRequest) (a PinAnswer, confirmed, ok bool) {
	holders := s.pinHolders(r.Proposed)
	for i, h := range holders {
		r.ToBackup = i > 0
		if h.VM == s.cfg.VM {
			return s.handlePinRequest(r, holders), i == 0, true
		}
		if s.send(h.Router, r, &a, pinTimeout) {
			return a, i == 0, true
		}
	}
	return PinAnswer{}, false, false
}

func (s *Service) send(addr string, r PinRequest, a *PinAnswer, timeout time.Duration) bool {
	if s.peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.peers.Call(ctx, addr, TypePin, r, a) == nil
}

// handlePinRequest answers a request. A home without a pin for the session
// asks the backup VM first, because the session may be new or the home may have
// restarted and lost its pins. If the pin changes, the home forwards the request to
// the backup VM in the background.
func (s *Service) handlePinRequest(r PinRequest, holders []membership.Member) PinAnswer {
	backup := ""
	for _, h := range holders {
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
		// Half the timeout, because the VM that sent r waits only pinTimeout.
		if s.send(backup, forwarded, &a, pinTimeout/2) {
			// If two requests for the session ask the backup VM at the same time, the
			// pin whose answer arrives first is stored.
			return s.storeProposed(PinRequest{Proposed: a.Pin}, a.Replaced)
		}
	}
	a := s.storeProposed(r, false)
	if backup != "" && hasPin && a.Replaced {
		s.runInBackground(func() { s.send(backup, forwarded, &PinAnswer{}, pinTimeout) })
	}
	return a
}

// storeProposed stores the proposed pin if Pins.Propose allows it, and returns the
// stored one.
func (s *Service) storeProposed(r PinRequest, replaced bool) PinAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.pins.Propose(r)
	a.Replaced = a.Replaced || replaced
	return a
}

// pinHolderCount is the number of VMs that store a named session's pins for all
// VMs: the home and the backup.
const pinHolderCount = 2

// pinHolders returns the session's home, which has the highest score by rendezvous
// hashing, and its backup, which has the second highest. This VM counts too.
func (s *Service) pinHolders(p Pin) []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := []membership.Member{{VM: s.cfg.VM}}
	scores := []uint64{holderScore(p, s.cfg.VM)}
	for _, m := range s.view.Members {
		if m.VM == s.cfg.VM || m.Status == membership.Dead || m.Status == membership.Leaving {
			continue
		}
		score := holderScore(p, m.VM)
		i := 0
		for i < len(scores) && scores[i] >= score {
			i++
		}
		best = append(best[:i], append([]membership.Member{m}, best[i:]...)...)
		scores = append(scores[:i], append([]uint64{score}, scores[i:]...)...)
		if len(best) > pinHolderCount {
			best, scores = best[:pinHolderCount], scores[:pinHolderCount]
		}
	}
	return best
}

func holderScore(p Pin, vm string) uint64 {
	return xxhash.Sum64String(p.Team + "\x00" + p.Session + "\x00" + vm)
}

// Register installs the handler of the peer message TypePin.
func (s *Service) Register(m peer.Mux) {
	m.Handle(TypePin, func(_ context.Context, _ peer.Identity, body peer.Body) (any, error) {
		var r PinRequest
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, result.New(result.PeerMessageInvalid, "decode pin request: %v", err)
		}
		return s.handlePinRequest(r, s.pinHolders(r.Proposed)), nil
	})
}
