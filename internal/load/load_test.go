package load

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/fake/plainservice"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const target = "draft@v1"

func testMix() *Mix {
	m := &Mix{
		Seed: 7, Rate: 200, Duration: settings.Duration(time.Second),
		Phases: []Phase{{Name: "all", Until: settings.Duration(time.Second)}},
		Teams:  []Team{{Name: "a", Key: "ka"}, {Name: "b", Key: "kb"}},
		Streams: []Stream{
			{Name: "draft", Kind: Chat, Weight: 2, Teams: []string{"a", "b"}, Model: "auto", Streamed: true, Sessions: 3, Quality: 0.7, Class: "draft"},
			{Name: "stock", Kind: Lookup, Weight: 1, Teams: []string{"a"}, Service: "orders", Path: "/stock/"},
			{Name: "confirm", Kind: Write, Weight: 1, Teams: []string{"a"}, Service: "orders", Path: "/confirmations", Resend: 0.5},
		},
	}
	for i := range m.Streams {
		m.Streams[i].setDefaults()
	}
	return m
}

func TestPlanFollowsTheSeed(t *testing.T) {
	a, b := Plan(testMix()), Plan(testMix())
	require.Equal(t, a, b)
	other := testMix()
	other.Seed++
	require.NotEqual(t, a, Plan(other))
	resends := map[ResendMode]int{}
	streams := map[string]int{}
	for i, x := range a {
		require.Equal(t, i, x.N)
		streams[x.Stream.Name]++
		resends[x.Resend]++
	}
	require.Len(t, streams, 3)
	require.Len(t, resends, 3)
}

// passThroughRouter starts a simplified router that forwards chats to one engine
// and service requests to one service, without claims.
func passThroughRouter(t *testing.T, e *engine.Engine, s *plainservice.Service) *httptest.Server {
	var requests atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address := e.Server.Address()
		path := r.URL.Path
		if rest, ok := strings.CutPrefix(path, "/v1/services/orders"); ok {
			address, path = s.Server.Address(), rest
		}
		body, _ := io.ReadAll(r.Body)
		body = bytes.Replace(body, []byte(`"auto"`), []byte(`"`+target+`"`), 1)
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+path, bytes.NewReader(body))
		id := fmt.Sprint(requests.Add(1), r.Header.Get(headerIdempotencyKey))
		req.Header.Set(wire.HeaderRequestID, id)
		req.Header.Set(wire.HeaderClaimKey, r.Header.Get(headerIdempotencyKey))
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		w.Header().Set(wire.HeaderRequestID, id)
		w.Header().Set(headerModel, target)
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	t.Cleanup(srv.Close)
	return srv
}

func testDocument(e, s string) *document.Document {
	return &document.Document{
		Models: []document.Model{{Name: "draft", Versions: []document.Version{{Name: "v1", State: document.Stable, Cost: 2}}}},
		Upstreams: []document.Upstream{
			{Name: "e", Zone: "z1", Kind: document.Engine, Address: e, Serves: []string{target}},
			{Name: "s", Zone: "z1", Kind: document.Plain, Address: s, Serves: []string{"orders"}},
		},
		Classes: []document.Class{{Name: "draft", Cascade: []string{"draft"}}},
		Teams:   []document.Team{{Name: "a", Models: []string{"draft"}}, {Name: "b", Models: []string{"draft"}}},
	}
}

// TestDriveAndCheck sends load to fakes through a router without claims. The
// checks must find the writes that ran twice and pass for complete responses.
func TestDriveAndCheck(t *testing.T) {
	e := engine.New("e", engine.Settings{
		Versions: []engine.VersionSettings{{Name: target, Quality: 0.8}}, QualitySpread: 0.1, MinTokens: 4, MaxTokens: 9, Limit: 500,
	})
	require.NoError(t, e.Server.Start("127.0.0.1:0"))
	s := plainservice.New("s", plainservice.Settings{})
	require.NoError(t, s.Server.Start("127.0.0.1:0"))
	t.Cleanup(func() { _, _ = e.Server.Close(), s.Server.Close() })
	router := passThroughRouter(t, e, s)
	d := testDocument(e.Server.Address(), s.Server.Address())
	run, err := Drive(t.Context(), Options{Label: "direct", Mix: testMix(), Targets: []string{router.URL}, Document: d, Progress: io.Discard})
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, run.Save(dir))
	run, err = OpenRun(dir)
	require.NoError(t, err)
	for _, row := range run.Rows(d) {
		require.Equal(t, row.Sent, row.OK+row.Canceled, "%+v", row)
	}
	b := run.CostComparisons(d)
	require.Len(t, b, 1)
	require.InDelta(t, b[0].StrongestCost, b[0].Cost, 1e-9, "one model only")
	require.True(t, b[0].PerfectMeetsTarget)
	violated := map[string]bool{}
	for _, v := range (&Evidence{Document: d, Run: run}).Check() {
		violated[v.Invariant] = len(v.Violations) > 0
	}
	require.True(t, violated["non-repeatable work ran at most once"], "resends ran twice and must be found")
	require.False(t, violated["each response is complete and belongs to its request"])
	var text bytes.Buffer
	require.NoError(t, Report(&text, run, d))
	require.Contains(t, text.String(), "confirm")
	out := t.TempDir()
	require.NoError(t, Compare(io.Discard, []*Run{run, run}, d, out))
	for _, f := range []string{"compare.txt", "time-draft.svg", "not-whole.svg", "cost.svg"} {
		info, err := os.Stat(filepath.Join(out, f))
		require.NoError(t, err)
		require.NotZero(t, info.Size())
	}
	got, err := Overhead{Router: router.URL, Engine: e.Server.Address(), Target: target, Pairs: 5}.Run(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 5, got.Direct.Count)
}

// TestChecksFindViolations violates one invariant per row in otherwise valid
// evidence; the invariant's check must report it.
func TestChecksFindViolations(t *testing.T) {
	prompt := engine.JoinMessages("p")
	set := &engine.Settings{Versions: []engine.VersionSettings{{Name: target, Quality: 0.8}}, MinTokens: 4, MaxTokens: 4, Fencing: true}
	answer := engine.NewAnswer(target, prompt, 0.8, engine.AnswerShape{MinTokens: 4, MaxTokens: 4}, 0)
	validEvidence := func() *Evidence {
		return &Evidence{
			Document: testDocument("", ""), LeavingGraceMS: 3000,
			Bills:          BillCount{"r1": 1, "k1": 1},
			ForbiddenSpans: []ForbiddenSpan{{"zone", "z1", 5, 10}, {"version", target, 5, 10}, {"upstream", "s", 5, 10}},
			Run: &Run{
				Mix: testMix(),
				Records: []Record{
					{Kind: Chat, Team: "a", ID: "r1", Status: 200, Model: target, Session: "s", Prompt: prompt, Text: answer.Text()},
					{Kind: Write, Team: "a", ID: "r2", Key: "k1", Status: 200},
					{Kind: Write, Team: "a", ID: "r3", Status: 503, Code: result.Overloaded, Run: result.NotRun},
				},
				StandIns: []StandInLog{
					{Upstream: "e", Kind: document.Engine, Settings: set, Before: &engine.Counters{}, Engine: &engine.Counters{Orders: 1}, Executions: []executions.Execution{
						{Request: "r1", Target: target, Ran: true, Cold: true, LeavingForMS: 10},
					}},
					{Upstream: "s", Kind: document.Plain, Executions: []executions.Execution{{Request: "r2", ClaimKey: "k1", Write: true, Ran: true}}},
				},
			},
		}
	}
	for _, v := range validEvidence().Check() {
		require.Empty(t, v.Violations, v.Invariant)
		require.NotZero(t, v.Examined, v.Invariant)
	}
	for _, c := range []struct {
		name      string
		invariant string
		violate   func(*Evidence)
	}{
		{"a write ran twice", "non-repeatable work", func(e *Evidence) {
			s := &e.Run.StandIns[1]
			s.Executions = append(s.Executions, s.Executions[0])
		}},
		{"a write received a response but never ran", "non-repeatable work", func(e *Evidence) { e.Run.StandIns[1].Executions = nil }},
		{"a write ran without a claim", "non-repeatable work", func(e *Evidence) { e.Run.StandIns[1].Executions[0].ClaimKey = "" }},
		{"a rejected request ran", "not run", func(e *Evidence) { e.Run.StandIns[0].Executions[0].Request = "r3" }},
		{"a team's version is not allowed", "allowed versions", func(e *Evidence) { e.Document.Teams[0].Models = nil }},
		{"a response is truncated", "complete", func(e *Evidence) { e.Run.Records[0].Text = strings.Join(answer.Tokens[:3], "") }},
		{"a response contains a token twice", "complete", func(e *Evidence) { e.Run.Records[0].Text = answer.Tokens[0] + answer.Text() }},
		{"a response belongs to another request", "complete", func(e *Evidence) { e.Run.Records[0].Prompt = "other" }},
		{"a session moved without announcement", "session", func(e *Evidence) {
			r := e.Run.Records[0]
			r.Model = "draft@v2"
			e.Run.Records = append(e.Run.Records, r)
		}},
		{"a cold engine received too many requests", "cold upstream", func(e *Evidence) { e.Run.StandIns[0].Engine.ColdViolations = 1 }},
		{"a leaving engine received a request after the grace period", "leaving", func(e *Evidence) { e.Run.StandIns[0].Executions[0].LeavingForMS = 3001 }},
		{"a withdrawn zone received a request", "zone z1", func(e *Evidence) { e.Run.StandIns[1].Executions[0].StartMS = 9 }},
		{"a withdrawn version received a request", "version draft@v1", func(e *Evidence) { e.Run.StandIns[0].Executions[0].StartMS = 5 }},
		{"a leaving upstream received a request", "upstream s", func(e *Evidence) { e.Run.StandIns[1].Executions[0].StartMS = 5 }},
		{"a stale order was accepted", "fenced", func(e *Evidence) { e.Run.StandIns[0].Engine.StaleOrders = 1 }},
		{"a bill is missing", "billed", func(e *Evidence) { delete(e.Bills, "r1") }},
		{"a bill is duplicated", "billed", func(e *Evidence) { e.Bills["k1"] = 2 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := validEvidence()
			c.violate(e)
			found := 0
			for _, v := range e.Check() {
				if strings.Contains(v.Invariant, c.invariant) {
					found += len(v.Violations)
				}
			}
			require.NotZero(t, found)
		})
	}
}

func TestForbiddenSpanFormat(t *testing.T) {
	var f ForbiddenSpan
	require.NoError(t, f.UnmarshalText([]byte("zone:cairo-a:5:10")))
	require.Equal(t, ForbiddenSpan{"zone", "cairo-a", 5, 10}, f)
	for _, bad := range []string{"", "zone:a:5", "rack:a:5:10", "zone:a:x:10", "zone:a:10:10"} {
		require.Error(t, f.UnmarshalText([]byte(bad)), bad)
	}
}

func TestExposure(t *testing.T) {
	m := testMix()
	m.Faults = []FaultAt{{At: settings.Duration(time.Second), Set: `{"bad_version":{"draft@v2":{"quality":0.1}}}`}, {Set: "{}"}}
	r := &Run{Mix: m}
	add := func(due float64, model string) {
		r.Records = append(r.Records, Record{DueMS: due, Model: model, Status: 200})
	}
	for i := range 4 {
		add(float64(i), "draft@v1")
		add(1000+float64(i), "draft@v1")
	}
	add(5, "draft@v2")
	add(1500, "draft@v2")
	add(1500, "other@v2")
	e := r.Exposures()
	require.Len(t, e, 1)
	require.Equal(t, Exposure{Target: "draft@v2", AtMS: 1000, ServedBefore: 1, Served: 1, ModelServed: 5, ShareBefore: 0.2, FixedPercentageServed: 1, LastServedMS: 500}, e[0])
}

func TestPerfectChoice(t *testing.T) {
	all := [][]option{
		{{0.5, 1}, {0.9, 10}},
		{{0.9, 1}, {0.95, 10}},
		{{0.6, 1}, {1.0, 10}},
	}
	quality, cost, met := perfectChoice(all, 0.75)
	require.True(t, met)
	require.InDelta(t, 12, cost, 1e-9, "two prompts gain equally from escalation; only one is escalated")
	require.InDelta(t, 0.8, quality, 1e-9)
	quality, cost = fixedMix(all, 0.75)
	require.InDelta(t, 0.75, quality, 1e-9)
	require.InDelta(t, 3+0.2937*27, cost, 0.05, "the share of the stronger model that meets the target")
	_, _, met = perfectChoice(all, 0.99)
	require.False(t, met)
}
