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

// State decides where this VM reads the document and which it applies.
//
// Invariant: the generation in force never falls, on any path. Each path ends
// in take, which is the only place that changes the document.
type State struct {
	config  Config
	random  *rand.Rand
	current Document
	// refused is the newest generation that this build can't apply.
	refused uint64
	// rank is this VM's place among the live VMs of its zone.
	rank  int
	peers []membership.Member
	// order holds the live VMs of each zone by rank.
	order map[string][]membership.Member

	platform platformReader
	fetching string
	ahead    []source
}

// platformReader is the state of reading from the platform. At most one poll
// or watch is in progress.
type platformReader struct {
	busy     bool
	failures int
	// due is when to poll or watch next.
	due time.Time
	// read is true once the platform has answered.
	read bool
}

// source is a peer with a newer document.
type source struct {
	address    string
	generation uint64
	// due is when to fetch from it.
	due time.Time
}

// New returns the state of a VM that has no document. Random only spreads
// calls in time.
func New(c Config, random *rand.Rand) *State {
	return &State{config: c, random: random}
}

// Current returns the document in force.
func (s *State) Current() Document { return s.current }

// Refused returns the newest generation that this build could not apply; zero
// when there is none above the one in force.
func (s *State) RejectedGeneration() uint64 {
	if s.refused <= s.current.Generation {
		return 0
	}
	return s.refused
}

// Step takes one message and returns what to do.
func (s *State) Step(now time.Time, m Message) []Action {
	var out []Action
	switch m := m.(type) {
	case ViewSet:
		s.setView(m.View, now)
	case PeerGeneration:
		s.notice(m, now)
	case ReadResult:
		out = s.ended(m, now)
	case SubmissionAccepted:
		out = s.take(m.Text)
	case Tick:
	}
	return append(out, s.next(now)...)
}

// watches reports whether this VM is one of its zone's watchers.
func (s *State) watches() bool { return s.rank < watchers }

// setView ranks the live VMs of each zone. Two VMs with different views may
// both watch or, for a moment, neither; slow polls and heartbeats are the
// backstop.
func (s *State) setView(v membership.View, now time.Time) {
	watched := s.watches()
	s.order = Ranked(v)
	s.peers = s.order[s.config.Zone]
	s.rank = max(0, slices.IndexFunc(s.peers, func(m membership.Member) bool { return m.VM == s.config.VM }))
	if s.watches() && !watched {
		s.platform.due = now
	}
}

// Ranked orders the live VMs of each zone by a hash of their names, so that
// all VMs with the same view agree on who watches and speaks for a zone.
func Ranked(v membership.View) map[string][]membership.Member {
	out := map[string][]membership.Member{}
	for _, m := range v.Members {
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			out[m.Zone] = append(out[m.Zone], m)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b membership.Member) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
		})
	}
	return out
}

// notice remembers a peer with a newer document; a direct notice is followed
// at once, a heartbeat's only when no notice has brought the document.
func (s *State) notice(m PeerGeneration, now time.Time) {
	if m.Generation <= max(s.current.Generation, s.refused) || m.Address == s.config.Address {
		return
	}
	due := now
	if !m.Direct {
		due = now.Add(catchUp + s.jitter(catchUp))
	}
	i := slices.IndexFunc(s.ahead, func(a source) bool { return a.address == m.Address })
	if i >= 0 {
		a := &s.ahead[i]
		a.generation = max(a.generation, m.Generation)
		if due.Before(a.due) {
			a.due = due
		}
		return
	}
	if len(s.ahead) == maxAhead {
		s.ahead = s.ahead[1:]
	}
	s.ahead = append(s.ahead, source{address: m.Address, generation: m.Generation, due: due})
}

// ended takes the end of a call.
func (s *State) ended(r ReadResult, now time.Time) []Action {
	if r.Source == FromPlatform {
		s.platformEnded(r, now)
	} else {
		s.fetching = ""
		s.ahead = slices.DeleteFunc(s.ahead, func(a source) bool { return a.address == r.Address })
	}
	if r.Failed || r.Text == nil {
		return nil
	}
	return s.take(r.Text)
}

func (s *State) platformEnded(r ReadResult, now time.Time) {
	p := &s.platform
	p.busy = false
	if r.Failed {
		most := retryMost
		if !s.watches() && s.current.Generation > 0 {
			most = retryIdle
		}
		wait := min(retryFirst<<min(p.failures, 10), most)
		p.failures++
		p.due = now.Add(wait/2 + s.jitter(wait/2))
		if !p.read {
			s.askSeeds(now)
		}
		return
	}
	p.read = true
	p.failures = 0
	p.due = now
	if !s.watches() {
		p.due = now.Add(pollEvery/2 + s.jitter(pollEvery))
	}
}

// askSeeds lets a VM that starts in an outage get the document from its peers;
// a seed that has none answers with nothing.
func (s *State) askSeeds(now time.Time) {
	if s.current.Generation > 0 {
		return
	}
	for _, a := range s.config.Seeds {
		s.notice(PeerGeneration{Address: a, Generation: 1, Direct: true}, now)
	}
}

// next starts the calls that are due.
func (s *State) next(now time.Time) []Action {
	var out []Action
	if p := &s.platform; !p.busy && !now.Before(p.due) {
		p.busy = true
		if s.watches() {
			out = append(out, Watch{})
		} else {
			out = append(out, Poll{})
		}
	}
	if a, ok := s.fetch(now); ok {
		out = append(out, FetchFrom{Address: a})
	}
	return out
}

// fetch picks the peer with the newest document among those that are due.
func (s *State) fetch(now time.Time) (string, bool) {
	have := max(s.current.Generation, s.refused)
	s.ahead = slices.DeleteFunc(s.ahead, func(a source) bool { return a.generation <= have })
	if s.fetching != "" {
		return "", false
	}
	var best source
	for _, a := range s.ahead {
		if !now.Before(a.due) && a.generation > best.generation {
			best = a
		}
	}
	s.fetching = best.address
	return best.address, best.address != ""
}

// take applies a document above the one in force, whole or not at all.
func (s *State) take(text []byte) []Action {
	d, err := DecodeStored(text)
	if err != nil {
		return s.refuse(d.Generation, err)
	}
	if d.Generation <= s.current.Generation {
		return nil
	}
	invariant.Check(d.Generation > s.current.Generation, invariant.GenerationMonotone,
		"generation %d after %d at %s", d.Generation, s.current.Generation, s.config.VM)
	s.current = d
	out := []Action{Publish{Document: d}}
	if to := s.children(); len(to) > 0 {
		out = append(out, Notify{Addresses: to, Generation: d.Generation})
	}
	return out
}

// refuse keeps the document in force as a whole.
func (s *State) refuse(generation uint64, err error) []Action {
	if generation <= max(s.refused, s.current.Generation) && generation > 0 {
		return nil
	}
	s.refused = max(s.refused, generation)
	return []Action{Reject{Generation: generation, Err: err}}
}

// children are the VMs that this one notifies: its own in the zone's tree, and
// from the first VM of a zone also the first of each other zone, which may be
// cut off from the platform.
func (s *State) children() []string {
	var out []string
	for i := fanOut*s.rank + 1; i <= fanOut*s.rank+fanOut && i < len(s.peers); i++ {
		out = append(out, s.peers[i].Agent)
	}
	if s.rank > 0 {
		return out
	}
	for zone, list := range s.order {
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

// Open reads a stored document. When the error is DocumentUnsupported the
// returned document still has its generation.
func DecodeStored(text []byte) (Document, error) {
	parsed, err := document.ParseStored(text)
	if err != nil {
		return unreadable(text, err)
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
