package distribution

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// State decides from where this VM reads the document and which one it applies.
//
// Invariant: the generation in force never decreases. Only apply changes the
// document in force.
type State struct {
	config  Config
	random  *rand.Rand
	current Document
	// rejected is the newest generation that this build can't apply.
	rejected uint64
	// rank is this VM's position among the live VMs of its zone.
	rank  int
	peers []membership.Member
	// rankedByZone holds the live VMs of each zone in order of rank.
	rankedByZone map[string][]membership.Member

	platform   platformReader
	fetching   string
	newerPeers []newerPeer
}

// platformReader is the state of reading from the platform. At most one poll
// or watch is in progress.
type platformReader struct {
	busy     bool
	failures int
	// nextRead is when to poll or watch next.
	nextRead time.Time
	// responded is true once a read has succeeded.
	responded bool
}

// newerPeer is a peer with a newer document.
type newerPeer struct {
	address    string
	generation uint64
	// fetchAt is when to fetch the document from the peer.
	fetchAt time.Time
}

// New returns the state of a VM that has no document. Random is used only for
// the jitter of calls.
func New(c Config, random *rand.Rand) *State {
	return &State{config: c, random: random}
}

// Current returns the document in force.
func (s *State) Current() Document { return s.current }

// RejectedGeneration returns the newest generation that this build could not
// apply, or zero if there is none above the one in force.
func (s *State) RejectedGeneration() uint64 {
	if s.rejected <= s.current.Generation {
		return 0
	}
	return s.rejected
}

// Step processes one message and returns the actions to perform.
func (s *State) Step(now time.Time, m Message) []Action {
	var out []Action
	switch m := m.(type) {
	case ViewSet:
		s.setView(m.View, now)
	case PeerGeneration:
		s.addNewerPeer(m, now)
	case ReadResult:
		out = s.handleRead(m, now)
	case SubmissionAccepted:
		out = s.apply(m.Text)
	case Tick:
	}
	return append(out, s.startDueCalls(now)...)
}

// isWatcher reports whether this VM is one of its zone's watchers.
func (s *State) isWatcher() bool { return s.rank < watchersPerZone }

// setView ranks the live VMs of each zone. While views differ, a zone can have
// too many watchers or none; VMs then receive documents through polls and
// heartbeats.
func (s *State) setView(v membership.View, now time.Time) {
	wasWatcher := s.isWatcher()
	s.rankedByZone = Ranked(v)
	s.peers = s.rankedByZone[s.config.Zone]
	s.rank = max(0, slices.IndexFunc(s.peers, func(m membership.Member) bool { return m.VM == s.config.VM }))
	if s.isWatcher() && !wasWatcher {
		s.platform.nextRead = now
	}
}

// Ranked returns the live VMs of each zone, sorted by a hash of their names.
// All VMs with the same view thus select the same watchers and speakers.
func Ranked(v membership.View) map[string][]membership.Member {
	ranked := map[string][]membership.Member{}
	for _, m := range v.Members {
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			ranked[m.Zone] = append(ranked[m.Zone], m)
		}
	}
	for _, list := range ranked {
		slices.SortFunc(list, func(a, b membership.Member) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
		})
	}
	return ranked
}

// addNewerPeer records a peer with a newer document. After a notice the document
// is fetched at once. After a heartbeat it is fetched only if a notice has not
// already led to a fetch.
func (s *State) addNewerPeer(m PeerGeneration, now time.Time) {
	if m.Generation <= max(s.current.Generation, s.rejected) || m.Address == s.config.Address {
		return
	}
	due := now
	if !m.FromNotice {
		due = now.Add(heartbeatFetchDelay + s.jitter(heartbeatFetchDelay))
	}
	i := slices.IndexFunc(s.newerPeers, func(a newerPeer) bool { return a.address == m.Address })
	if i >= 0 {
		a := &s.newerPeers[i]
		a.generation = max(a.generation, m.Generation)
		if due.Before(a.fetchAt) {
			a.fetchAt = due
		}
		return
	}
	if len(s.newerPeers) == maxNewerPeers {
		s.newerPeers = s.newerPeers[1:]
	}
	s.newerPeers = append(s.newerPeers, newerPeer{address: m.Address, generation: m.Generation, fetchAt: due})
}

// handleRead processes the result of a call.
func (s *State) handleRead(r ReadResult, now time.Time) []Action {
	if r.Source == FromPlatform {
		s.scheduleNextRead(r, now)
	} else {
		s.fetching = ""
		s.newerPeers = slices.DeleteFunc(s.newerPeers, func(a newerPeer) bool { return a.address == r.Address })
	}
	if r.Failed || r.Text == nil {
		return nil
	}
	return s.apply(r.Text)
}

func (s *State) scheduleNextRead(r ReadResult, now time.Time) {
	p := &s.platform
	p.busy = false
	if r.Failed {
		limit := maxBackoff
		if !s.isWatcher() && s.current.Generation > 0 {
			limit = maxIdleBackoff
		}
		wait := min(minBackoff<<min(p.failures, 10), limit)
		p.failures++
		p.nextRead = now.Add(wait/2 + s.jitter(wait/2))
		if !p.responded {
			s.fetchFromSeeds(now)
		}
		return
	}
	p.responded = true
	p.failures = 0
	p.nextRead = now
	if !s.isWatcher() {
		p.nextRead = now.Add(pollInterval/2 + s.jitter(pollInterval))
	}
}

// fetchFromSeeds schedules a fetch from each seed, so that a VM that starts
// while the platform is unavailable gets the document from a peer. A seed that
// has no document returns an empty response.
func (s *State) fetchFromSeeds(now time.Time) {
	if s.current.Generation > 0 {
		return
	}
	for _, a := range s.config.Seeds {
		s.addNewerPeer(PeerGeneration{Address: a, Generation: 1, FromNotice: true}, now)
	}
}

// startDueCalls starts the calls that are due.
func (s *State) startDueCalls(now time.Time) []Action {
	var out []Action
	if p := &s.platform; !p.busy && !now.Before(p.nextRead) {
		p.busy = true
		if s.isWatcher() {
			out = append(out, Watch{})
		} else {
			out = append(out, Poll{})
		}
	}
	if a, ok := s.nextFetch(now); ok {
		out = append(out, FetchFrom{Address: a})
	}
	return out
}

// nextFetch selects the peer with the newest document among those from which a
// fetch is due.
func (s *State) nextFetch(now time.Time) (string, bool) {
	have := max(s.current.Generation, s.rejected)
	s.newerPeers = slices.DeleteFunc(s.newerPeers, func(a newerPeer) bool { return a.generation <= have })
	if s.fetching != "" {
		return "", false
	}
	var best newerPeer
	for _, a := range s.newerPeers {
		if !now.Before(a.fetchAt) && a.generation > best.generation {
			best = a
		}
	}
	s.fetching = best.address
	return best.address, best.address != ""
}

// apply puts a document in force if it is valid and its generation is above the
// one in force. It never applies part of a document.
func (s *State) apply(text []byte) []Action {
	d, err := DecodeStored(text)
	if err != nil {
		return s.reject(d.Generation, err)
	}
	if d.Generation <= s.current.Generation {
		return nil
	}
	invariant.Check(d.Generation > s.current.Generation, invariant.GenerationMonotone,
		"generation %d after %d at %s", d.Generation, s.current.Generation, s.config.VM)
	s.current = d
	out := []Action{PutInForce{Document: d}}
	if children := s.children(); len(children) > 0 {
		out = append(out, Notify{Addresses: children, Generation: d.Generation})
	}
	return out
}

// reject reports a document that can't be applied. The document in force stays
// unchanged.
func (s *State) reject(generation uint64, err error) []Action {
	if generation <= max(s.rejected, s.current.Generation) && generation > 0 {
		return nil
	}
	s.rejected = max(s.rejected, generation)
	return []Action{Reject{Generation: generation, Err: err}}
}

// children returns the agents that this VM notifies: its children in the zone's
// tree by rank. The first VM of a zone also notifies the first VM of each other
// zone, which may have no connection to the platform.
func (s *State) children() []string {
	var out []string
	for i := fanOut*s.rank + 1; i <= fanOut*s.rank+fanOut && i < len(s.peers); i++ {
		out = append(out, s.peers[i].Agent)
	}
	if s.rank > 0 {
		return out
	}
	for zone, list := range s.rankedByZone {
		if zone != s.config.Zone {
			out = append(out, list[0].Agent)
		}
	}
	slices.Sort(out)
	return out
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

// DecodeStored decodes and validates a stored document. When the error is
// DocumentUnsupported, the returned document still has its generation.
func DecodeStored(text []byte) (Document, error) {
	parsed, err := document.ParseStored(text)
	if err != nil {
		return classifyParseError(text, err)
	}
	if err := document.Validate(parsed); err != nil {
		return Document{Generation: parsed.Generation}, err
	}
	if parsed.Generation == 0 {
		return Document{}, result.New(result.DocumentInvalid, "a stored document has no generation")
	}
	digest, err := document.Digest(parsed)
	if err != nil {
		return Document{}, err
	}
	return Document{Generation: parsed.Generation, Digest: digest, Text: text, Parsed: parsed}, nil
}
