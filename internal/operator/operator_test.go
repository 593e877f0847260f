package operator

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/program"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// unreachableAddress has no listener: binding port 1 needs privileges.
const unreachableAddress = "127.0.0.1:1"

func demoDocument(t *testing.T, burst int) *document.Document {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "examples", "demo.yaml"))
	require.NoError(t, err)
	d, err := document.Load(b)
	require.NoError(t, err)
	d.Teams[0].Burst = burst
	return d
}

func TestSubmitAfterLostResponses(t *testing.T) {
	submitOther := func(f *fleet) { f.accept(demoDocument(t, 999)) }
	cases := []struct {
		name   string
		faults []fault
		base   uint64
		after  func(*fleet)
		lag    int
		want   result.Code
		found  bool
		writes int
	}{
		{name: "no fault", base: 1, writes: 1},
		{name: "the connection is cut before the write", faults: []fault{cutBeforeWrite}, base: 1, writes: 1},
		{name: "the response is lost after the write", faults: []fault{cutAfterWrite}, base: 1, found: true, writes: 1},
		{name: "the response is lost after the write and reads are stale", faults: []fault{cutAfterWrite}, base: 1, lag: 3, found: true, writes: 1},
		{name: "two responses are lost, the second attempt was a conflict", faults: []fault{cutAfterWrite, cutBeforeWrite}, base: 1, found: true, writes: 1},
		{name: "the outcome is unknown and the document was written", faults: []fault{unknownWritten}, base: 1, found: true, writes: 1},
		{name: "the outcome is unknown and the document was not written", faults: []fault{unknownNotWritten, unknownNotWritten}, base: 1, writes: 1},
		{name: "an agent never responds", faults: []fault{noResponse}, base: 1, found: true, writes: 1},
		{name: "the platform is unavailable for some attempts", faults: []fault{unavailable, unavailable, unavailable}, base: 1, writes: 1},
		{name: "an error status with an empty body", faults: []fault{emptyErrorBody}, base: 1, writes: 1},
		{name: "another operator submitted first", base: 0, want: result.DocumentConflict},
		{name: "the response is lost and another operator submits next", faults: []fault{cutAfterWrite}, base: 1, after: submitOther, want: result.DocumentUnknown, writes: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{doc: demoDocument(t, 1), generation: 1, faults: c.faults, afterFirstWrite: c.after, staleReads: c.lag}
			f.previous = f.doc
			addresses, dir := startAgents(t, f, 2)
			client := NewClient(append([]string{unreachableAddress}, addresses...), openCertificates(t, dir, "operator").Client(pki.RoleAgent), 2*time.Second)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			submitted, err := client.Submit(ctx, Submission{Document: demoDocument(t, 2), Base: c.base})
			if c.want != 0 {
				assert.True(t, result.Is(err, c.want), "%v", err)
			} else {
				require.NoError(t, err)
				assert.Equal(t, SubmitResult{Generation: 2, AlreadyInForce: c.found}, submitted)
			}
			assert.Equal(t, c.writes, f.writes)
		})
	}
}

func TestSubmitWithoutAnyAgent(t *testing.T) {
	f := &fleet{doc: demoDocument(t, 1), generation: 1}
	addresses, dir := startAgents(t, f, 1)
	tlsConfig := openCertificates(t, dir, "operator").Client()
	cases := []struct {
		name   string
		agents []string
		faults []fault
		want   result.Code
		run    result.RunState
	}{
		{"no agent listens, so nothing was written", []string{unreachableAddress}, nil, result.PeerUnreachable, result.NotRun},
		{"every response is lost", addresses, repeatFault(cutBeforeWrite, 100), result.DocumentUnknown, result.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.faults = c.faults
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			client := NewClient(c.agents, tlsConfig, time.Second)
			defer client.Close()
			_, err := client.Submit(ctx, Submission{Document: demoDocument(t, 2), Base: 1})
			e := result.From(err)
			assert.Equal(t, c.want, e.Code, "%v", err)
			assert.Equal(t, c.run, e.Run)
		})
	}
}

func repeatFault(f fault, n int) []fault {
	out := make([]fault, n)
	for i := range out {
		out[i] = f
	}
	return out
}

// settingsFile writes a pierctl settings file for the agents and returns its
// path.
func settingsFile(t *testing.T, dir string, addresses []string) string {
	t.Helper()
	text := fmt.Sprintf("fleet: demo\nagents: [%s]\ntls: {certificate: %[2]s/operator.pem, key: %[2]s/operator-key.pem, authority: %[2]s/ca.pem}\n", strings.Join(addresses, ", "), dir)
	path := filepath.Join(dir, "ctl.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCommands(t *testing.T) {
	e := timeline.Event{Stamp: timeline.Stamp{WallMS: time.Now().UnixMilli(), Count: 2}, Sequence: 1, VM: "vm-1", Role: "router", Incarnation: 4, Request: "r-1", Name: "claims.granted", Fields: []timeline.Field{timeline.F("key", "a b")}}
	f := &fleet{doc: demoDocument(t, 1), generation: 1, events: []timeline.Event{e}, members: []Member{
		newMember("vm-1", membership.Alive, 2), newMember("vm-2", membership.Dead, 1),
	}}
	addresses, dir := startAgents(t, f, 1)
	config := settingsFile(t, dir, addresses)
	valid, faulty, lagging := filepath.Join(dir, "a.yaml"), filepath.Join(dir, "b.yaml"), filepath.Join(dir, "c.yaml")
	for path, d := range map[string]*document.Document{valid: demoDocument(t, 2), lagging: demoDocument(t, 3)} {
		b, err := document.Encode(d)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, b, 0o600))
	}
	require.NoError(t, os.WriteFile(faulty, []byte("schema: 1\nfleet: X\nzones: []\n"), 0o600))
	cases := []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"a valid file", []string{"validate", valid}, program.ExitOK, []string{"is valid", "note: a planned stop waits longer than the default drain.grace of 30s", "class "}},
		{"every fault is listed", []string{"validate", faulty}, program.ExitFailed, []string{"2001 document_invalid, 2 faults", "line 2: fleet", "line 3: zones"}},
		{"a missing file", []string{"validate", "absent"}, program.ExitFailed, []string{"can't be read: no such file"}},
		{"a diff against the document in force", []string{"diff", valid}, program.ExitOK, []string{"1 changes against generation 1", "~ teams[engravers].burst: 1 -> 2"}},
		{"a submission that waits reports the dead VM", []string{"submit", "--wait", valid}, program.ExitOK, []string{"accepted as generation 2", "vm-2 (az-a, dead) has generation 1", "in force on every live VM"}},
		{"the same document again with the old base", []string{"submit", "--base=1", valid}, program.ExitOK, []string{"already in force as generation 2"}},
		{"a live VM lags until the timeout", []string{"submit", "--wait", "--timeout=400ms", lagging}, program.ExitFailed, []string{"accepted as generation 3", "lagging: vm-1", "2005 document_unknown"}},
		{"a conflict", []string{"submit", "--base=1", valid}, program.ExitFailed, []string{"2002 document_conflict: generation 3 is in force"}},
		{"the document in force, to be edited", []string{"show"}, program.ExitOK, []string{"schema: 1\nbase: 3\n"}},
		{"the fleet's status", []string{"status"}, program.ExitOK, []string{"generation 3", "vm-2  az-a  dead", "platform UNREACHABLE"}},
		{"the timeline", []string{"timeline"}, program.ExitOK, []string{`+2 vm-1/router#4 r-1 claims.granted key="a b"`, "the events of vm-3 could not be read"}},
		{"a drain", []string{"drain", "vm-2"}, program.ExitOK, []string{"vm-2 is draining"}},
		{"a command that does not exist", []string{"destroy"}, program.ExitUsage, []string{"unexpected argument destroy"}},
		{"no settings", []string{"--settings=", "status"}, program.ExitUsage, []string{"2101 settings_invalid"}},
		{"a key's digest", []string{"keys", "hash", "k"}, program.ExitOK, []string{document.HashKey("k")}},
		{"keys for a further VM", []string{"keys", "init", dir, "--fleet=demo", "--vm=vm-1,vm-9"}, program.ExitOK, []string{"created vm-9-agent.pem"}},
		{"the version", []string{"--version"}, program.ExitOK, []string{"pierctl "}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Main(t.Context(), append([]string{"--settings=" + config}, c.args...), &out, &out)
			assert.Equal(t, c.code, code, out.String())
			for _, want := range c.want {
				assert.Contains(t, out.String(), want)
			}
		})
	}
	assert.Equal(t, []string{"vm-2"}, f.drained)
}

func TestSubmitRequiresOperatorRole(t *testing.T) {
	f := &fleet{doc: demoDocument(t, 1), generation: 1}
	addresses, dir := startAgents(t, f, 1)
	for _, name := range []string{"vm-1-router", "vm-1-agent"} {
		client := NewClient(addresses, openCertificates(t, dir, name).Client(pki.RoleAgent), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		_, err := client.Submit(ctx, Submission{Document: demoDocument(t, 2), Base: 1})
		assert.Error(t, err, "%s does not have the role operator", name)
		cancel()
		client.Close()
	}
	assert.Zero(t, f.writes)
}

func TestFollowerShowsEachEventOnce(t *testing.T) {
	event := func(seq uint64, ms int64) timeline.Event {
		return timeline.Event{Stamp: timeline.Stamp{WallMS: ms}, Sequence: seq, VM: "vm-1"}
	}
	f := NewFollower(1000)
	assert.Len(t, f.New([]timeline.Event{event(1, 1000), event(2, 9000)}), 2)
	assert.Equal(t, int64(4000), f.SinceMS())
	late := event(3, 5000)
	assert.Equal(t, []timeline.Event{late, event(4, 9001)}, f.New([]timeline.Event{event(2, 9000), event(4, 9001), late}))
	f.New([]timeline.Event{event(5, 100_000)})
	assert.Len(t, f.shown, 1, "the IDs of events before SinceMS are dropped")
}
