package versions

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/soak"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

var (
	t0  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key = []byte("0123456789abcdef")
)

// newTestIndex builds an index of model "m" from states like "v1:stable
// v2:rollout v3:withdrawn>v2". Team "all" may use the whole model, "new" only v2
// and "none" only another model.
func newTestIndex(generation uint64, states string) *document.Index {
	m := document.Model{Name: "m"}
	for _, s := range strings.Fields(states) {
		name, state, _ := strings.Cut(s, ":")
		state, next, _ := strings.Cut(state, ">")
		m.Versions = append(m.Versions, document.Version{Name: name, State: document.State(state), Successor: next})
	}
	return document.NewIndex(&document.Document{
		Generation: generation,
		Models:     []document.Model{m, {Name: "n", Versions: []document.Version{{Name: "x", State: document.Stable}}}},
		Teams: []document.Team{
			{Name: "all", Models: []string{"m", "n"}},
			{Name: "new", Models: []string{"m@v2"}},
			{Name: "none", Models: []string{"n"}},
		},
	})
}

func newTestService(t *testing.T) *Service {
	s, err := New(Config{VM: "a", Keys: [][]byte{key}}, nil, nil, nil)
	require.NoError(t, err)
	return s
}

func TestChoose(t *testing.T) {
	twoVersions := "v1:stable v2:rollout"
	fullShare := []RollOutShare{{Model: "m", Version: "v2", Fraction: 1, NotAfter: t0.Add(time.Minute)}}
	halted := []RollOutShare{{Model: "m", Version: "v2", Fraction: 1, Halted: true}}
	late := t0.Add(2 * time.Minute)
	tests := []struct {
		name   string
		states string
		shares []RollOutShare
		team   string
		model  string
		pinned string // version of the session's token; empty for none
		now    time.Time
		want   string
		moved  string
		code   result.Code
	}{
		{name: "without a share all requests go to the stable version", states: twoVersions, want: "v1"},
		{name: "a share of 1 sends all requests to the new version", states: twoVersions, shares: fullShare, want: "v2"},
		{name: "an expired share returns requests to the stable version", states: twoVersions, shares: fullShare, now: late, want: "v1"},
		{name: "a halted version receives no requests", states: twoVersions, shares: halted, want: "v1"},
		{name: "a share of a withdrawn version is ignored", states: "v1:stable v2:withdrawn", shares: fullShare, want: "v1"},
		{name: "a session keeps its version at share zero", states: twoVersions, pinned: "v2", want: "v2"},
		{name: "a session keeps its version after the share expired", states: twoVersions, shares: fullShare, pinned: "v2", now: late, want: "v2"},
		{name: "a session keeps the stable version at a share of 1", states: twoVersions, shares: fullShare, pinned: "v1", want: "v1"},
		{name: "a session on a withdrawn version moves to the successor", states: "v1:withdrawn>v3 v2:stable v3:rollout", pinned: "v1", want: "v3", moved: "v1"},
		{name: "a withdrawn successor is replaced by its own successor", states: "v1:withdrawn>v2 v2:withdrawn>v3 v3:rollout v4:stable", pinned: "v1", want: "v3", moved: "v1"},
		{name: "without a successor the session moves to the stable version", states: "v1:withdrawn v2:stable", pinned: "v1", want: "v2", moved: "v1"},
		{name: "sessions of a halted version move", states: twoVersions, shares: halted, pinned: "v2", want: "v1", moved: "v2"},
		{name: "sessions of a version that was removed from the document move", states: "v2:stable", pinned: "v1", want: "v2", moved: "v1"},
		{name: "a team that may use only the new version gets it", states: twoVersions, team: "new", want: "v2"},
		{name: "a session moves if its version is no longer allowed to the team", states: twoVersions, team: "new", pinned: "v1", want: "v2", moved: "v1"},
		{name: "a team without the model is rejected", states: twoVersions, team: "none", code: result.TeamNotAllowed},
		{name: "a team whose only version is withdrawn gets no version", states: "v1:stable v2:withdrawn", team: "new", code: result.NoVersion},
		{name: "an unknown model is rejected", states: twoVersions, model: "zzz", code: result.UnknownModel},
		{name: "a named version is used", states: twoVersions, model: "m@v2", want: "v2"},
		{name: "a withdrawn named version is replaced and the move reported", states: "v1:stable v2:withdrawn", model: "m@v2", want: "v1", moved: "v2"},
		{name: "a named version that does not exist is rejected", states: twoVersions, model: "m@v9", code: result.UnknownModel},
		{name: "a named version that the team may not use is rejected", states: twoVersions, team: "new", model: "m@v1", code: result.TeamNotAllowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestService(t)
			r := ChooseRequest{Team: tt.team, Model: tt.model, RequestID: "r1", Now: tt.now}
			if r.Team == "" {
				r.Team = "all"
			}
			if r.Model == "" {
				r.Model = "m"
			}
			if r.Now.IsZero() {
				r.Now = t0
			}
			if tt.pinned != "" {
				token, err := s.signer.sign(&session{ID: "s", Team: r.Team, Pins: []tokenPin{{"m", tt.pinned}}})
				require.NoError(t, err)
				r.SessionToken = token
			}
			c, token, err := s.Choose(newTestIndex(1, tt.states), tt.shares, r)
			if tt.code != 0 {
				require.True(t, result.Is(err, tt.code), "%v", err)
				require.Equal(t, result.NotRun, result.From(err).Run)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, c.Version)
			require.Equal(t, tt.moved, c.MovedFrom)
			require.Equal(t, tt.moved != "", c.Moved)
			// Another VM accepts the new token, and the move is reported once.
			r.SessionToken = token
			again, _, err := newTestService(t).Choose(newTestIndex(1, tt.states), nil, r)
			if tt.model == "" && tt.shares == nil {
				require.NoError(t, err)
				require.Equal(t, tt.want, again.Version)
				require.False(t, again.Moved)
			}
		})
	}
}

func TestTokens(t *testing.T) {
	s := newTestService(t)
	idx := newTestIndex(1, "v1:stable")
	_, token, err := s.Choose(idx, nil, ChooseRequest{Team: "all", Model: "m", RequestID: "r", Now: t0})
	require.NoError(t, err)
	flip := func(i int) string {
		b := []byte(token)
		b[i] ^= 1
		return string(b)
	}
	for name, bad := range map[string]string{
		"a changed payload": flip(len(TokenPrefix) + 3), "a changed signature": flip(len(token) - 3),
		"no signature": token[:strings.LastIndex(token, ".")], "an empty one": TokenPrefix, "an overlong one": token + strings.Repeat("A", maxTokenBytes),
	} {
		_, _, err := s.Choose(idx, nil, ChooseRequest{Team: "all", Model: "m", SessionToken: bad, Now: t0})
		require.True(t, result.Is(err, result.SessionInvalid), name)
	}
	_, _, err = s.Choose(idx, nil, ChooseRequest{Team: "new", Model: "m", SessionToken: token, Now: t0})
	require.True(t, result.Is(err, result.SessionInvalid), "another team's token")
	next, err := New(Config{VM: "b", Keys: [][]byte{[]byte("another-16-bytes"), key}}, nil, nil, nil)
	require.NoError(t, err)
	_, _, err = next.Choose(idx, nil, ChooseRequest{Team: "all", Model: "m", SessionToken: token, Now: t0})
	require.NoError(t, err, "the previous key is still accepted")
}

// TestSharesAreKept checks that the new version gets its share of new sessions
// and that a growing share only adds sessions.
func TestNewSessionsFollowShare(t *testing.T) {
	s := newTestService(t)
	idx := newTestIndex(1, "v1:stable v2:rollout")
	onNewVersion := map[int]bool{}
	for _, share := range []float64{0.01, 0.05, 0.25, 1} {
		n := 0
		for i := range 4000 {
			c, _, err := s.Choose(idx, []RollOutShare{{Model: "m", Version: "v2", Fraction: share}}, ChooseRequest{Team: "all", Model: "m", RequestID: fmt.Sprint(i), Now: t0})
			require.NoError(t, err)
			if c.Version == "v2" {
				n++
			}
			require.False(t, onNewVersion[i] && c.Version != "v2", "a session left the new version although the share grew")
			onNewVersion[i] = c.Version == "v2"
		}
		require.InDelta(t, share, float64(n)/4000, 0.02)
	}
}

func TestRecheckAtDispatch(t *testing.T) {
	c := Choice{Model: "m", Version: "v2"}
	require.NoError(t, StillAllowed(newTestIndex(1, "v1:stable v2:rollout"), "all", c))
	require.True(t, result.Is(StillAllowed(newTestIndex(2, "v1:stable v2:withdrawn"), "all", c), result.NoVersion))
	require.True(t, result.Is(StillAllowed(newTestIndex(2, "v1:stable v2:rollout"), "none", c), result.TeamNotAllowed))
}

// network connects services by direct calls. Calls between different partitions
// fail.
type network struct {
	services  map[string]*Service
	handlers  map[string]peer.Handler
	partition map[string]int
	calls     int
}

type link struct {
	n    *network
	from string
}

var errPartitioned = errors.New("partitioned")

func (l link) Call(ctx context.Context, addr string, _ peer.Type, in, out any) error {
	l.n.calls++
	if l.n.partition[l.from] != l.n.partition[addr] || l.n.handlers[addr] == nil {
		return errPartitioned
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	v, err := l.n.handlers[addr](ctx, peer.Identity{VM: l.from}, body)
	if err != nil {
		return err
	}
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, out)
}

type mux struct {
	n  *network
	vm string
}

func (m mux) Handle(_ peer.Type, h peer.Handler) { m.n.handlers[m.vm] = h }

func newNetwork(t *testing.T, vms int) *network {
	n := &network{services: map[string]*Service{}, handlers: map[string]peer.Handler{}, partition: map[string]int{}}
	view := membership.View{}
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		view.Members = append(view.Members, membership.Member{VM: name, Router: name, Status: membership.Alive})
	}
	for _, m := range view.Members {
		n.startService(t, m.VM, view)
	}
	return n
}

func (n *network) startService(t *testing.T, vm string, view membership.View) {
	s, err := New(Config{VM: vm, Keys: [][]byte{key}}, link{n, vm}, nil, nil)
	require.NoError(t, err)
	s.SetView(view)
	s.Register(mux{n, vm})
	s.runInBackground = func(f func()) { f() }
	n.services[vm] = s
}

// TestRandomFleet guards against sessions that change their version without
// need. It serves sessions on VMs that are partitioned, restarted without state
// or have a stale document, while versions are rolled out and withdrawn.
func TestRandomFleet(t *testing.T) {
	type ses struct {
		token, name, version string
	}
	const vms, steps = 8, 4000
	requests, changes, unforcedChanges := 0, 0, 0
	for seed := range soak.Seeds(12, 4_000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := newNetwork(t, vms)
		view := n.services["vm0"].view
		states := []string{"stable", "rollout", "rollout", "rollout"}
		render := func() string {
			return fmt.Sprintf("v1:%s v2:%s v3:%s v4:%s", states[0], states[1], states[2], states[3])
		}
		docs := []*document.Index{newTestIndex(1, render())}
		docIndexOf := map[string]int{}
		share := 0.1
		sessions := make([]*ses, 40)
		for i := range sessions {
			sessions[i] = &ses{}
			if i%2 == 0 {
				sessions[i].name = fmt.Sprintf("s%d", i)
			}
		}
		partitioned, hadFault := false, false
		for range steps {
			vm := fmt.Sprintf("vm%d", rng.IntN(vms))
			switch k := rng.IntN(200); {
			case k == 0 && len(docs) < 4:
				// Withdraw one version that is not stable, or replace the stable one.
				i := rng.IntN(4)
				if states[i] == "stable" {
					j := (i + 1) % 4
					if states[j] == "withdrawn" {
						break
					}
					states[j] = "stable"
				}
				states[i] = "withdrawn"
				docs = append(docs, newTestIndex(uint64(len(docs)+1), render()))
			case k < 3:
				partitioned, hadFault = !partitioned, true
				for v := range n.services {
					n.partition[v] = 0
					if partitioned {
						n.partition[v] = rng.IntN(2)
					}
				}
			case k == 3:
				n.startService(t, vm, view)
				hadFault = true // a restart loses pins, as a partition makes them unreachable
			case k == 4:
				share = rng.Float64()
			case k < 30:
				docIndexOf[vm] = len(docs) - 1 // the VM receives the current document
			}
			s := sessions[rng.IntN(len(sessions))]
			idx := docs[docIndexOf[vm]]
			c, token, err := n.services[vm].Choose(idx, []RollOutShare{{Model: "m", Version: "v2", Fraction: share}}, ChooseRequest{
				Team: "all", Model: "m", SessionToken: s.token, SessionName: s.name, RequestID: fmt.Sprint(requests), Now: t0,
			})
			require.NoError(t, err)
			requests++
			if s.name == "" {
				s.token = token
			}
			if s.version != "" && s.version != c.Version {
				v, ok := idx.Version("m", s.version)
				forced := !ok || v.State == document.Withdrawn
				if s.name == "" {
					require.True(t, forced && c.Moved && c.MovedFrom == s.version, "seed %d: a session with a token changed from %s to %s", seed, s.version, c.Version)
				} else if !forced {
					unforcedChanges++
					require.True(t, hadFault || len(docs) > 1, "seed %d: a named session changed from %s to %s without a fault", seed, s.version, c.Version)
				}
				changes++
			}
			s.version = c.Version
		}
	}
	t.Logf("%d requests, %d changes of version, %d of them of named sessions without a withdrawal (after partitions, restarts or with stale documents)", requests, changes, unforcedChanges)
	require.Less(t, unforcedChanges, requests/100)
}

// TestNamedSessionsWithoutFaults checks that without faults a named session has
// the same version on all VMs while the new version's share grows, and that it
// moves once when that version is withdrawn.
func TestNamedSessionsWithoutFaults(t *testing.T) {
	n := newNetwork(t, 8)
	rng := rand.New(rand.NewPCG(1, 1))
	initialVersion := map[string]string{}
	moves := map[string]int{}
	for step := range 6000 {
		states := "v1:stable v2:rollout"
		if step >= 4000 {
			states = "v1:stable v2:withdrawn"
		}
		name := fmt.Sprintf("s%d", rng.IntN(60))
		c, _, err := n.services[fmt.Sprintf("vm%d", rng.IntN(8))].Choose(newTestIndex(uint64(1+step/4000), states),
			[]RollOutShare{{Model: "m", Version: "v2", Fraction: float64(step) / 4000}}, ChooseRequest{Team: "all", Model: "m", SessionName: name, Now: t0})
		require.NoError(t, err)
		if c.Moved {
			moves[name]++
		}
		if step < 4000 {
			if initialVersion[name] == "" {
				initialVersion[name] = c.Version
			}
			require.Equal(t, initialVersion[name], c.Version, "session %s", name)
		}
	}
	for name, v := range initialVersion {
		want := 0
		if v == "v2" {
			want = 1
		}
		require.Equal(t, want, moves[name], "session %s on %s: number of reported moves", name, v)
	}
}

// TestNamedSessionsOutliveTheirHome guards against sessions that lose their pin
// when their home restarts. It restarts each VM in turn without state and sends
// the sessions' requests to it, while all new sessions get another version.
func TestPinsSurviveHomeRestart(t *testing.T) {
	n := newNetwork(t, 4)
	idx := newTestIndex(1, "v1:stable v2:rollout")
	choose := func(vm, name string, share float64) string {
		c, _, err := n.services[vm].Choose(idx, []RollOutShare{{Model: "m", Version: "v2", Fraction: share}}, ChooseRequest{Team: "all", Model: "m", SessionName: name, Now: t0})
		require.NoError(t, err)
		return c.Version
	}
	for i := range 50 {
		require.Equal(t, "v1", choose("vm0", fmt.Sprint(i), 0))
	}
	for _, restarted := range []string{"vm0", "vm1", "vm2", "vm3"} {
		n.startService(t, restarted, n.services[restarted].view)
		for i := range 50 {
			require.Equal(t, "v1", choose(restarted, fmt.Sprint(i), 1), "session %d after the restart of %s", i, restarted)
		}
	}
}

func FuzzToken(f *testing.F) {
	s := signer{[][]byte{key}}
	good, _ := s.sign(&session{ID: "s", Team: "t", Pins: []tokenPin{{"m", "v"}}})
	f.Add(good)
	f.Add(TokenPrefix + "AA.AA")
	f.Fuzz(func(t *testing.T, token string) {
		if got, err := s.verify(token, "t"); err == nil && got.Team != "t" {
			t.Fatal("a token of another team was accepted")
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	s, _ := New(Config{VM: "a", Keys: [][]byte{key}}, nil, nil, nil)
	idx := newTestIndex(1, "v1:stable v2:rollout")
	_, token, _ := s.Choose(idx, nil, ChooseRequest{Team: "all", Model: "m", RequestID: "r", Now: t0})
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = s.Choose(idx, nil, ChooseRequest{Team: "all", Model: "m", SessionToken: token, RequestID: "r", Now: t0})
	}
}

// TestCheckNoticesAChangedSession checks that checkInvariants fails for a session
// whose version changed without reason.
func TestCheckInvariantsRejectsChangedVersion(t *testing.T) {
	d := &decider{idx: newTestIndex(1, "v1:stable v2:rollout"), team: "all", model: &document.Model{Name: "m"}, now: t0}
	require.NotPanics(t, func() { d.checkInvariants(Choice{Model: "m", Version: "v1"}, "v1") })
	require.PanicsWithValue(t, "invariant session_version: session on m@v1 was given v2, moved false",
		func() { d.checkInvariants(Choice{Model: "m", Version: "v2"}, "v1") })
}
