package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sampleLog = `I0602 14:24:44.014281   17336 app.go:88] "process: start" vm="vm-1" zone="a"
I0602 14:24:44.617686   17336 follow.go:107] "config: in force" version=4 revision=2 routes=17 keys=20
garbage
I0602 14:24:45.227715   17336 follow.go:145] "fleet: upstream" upstream="u1" service="s" address="10.0.0.1:80" leaving=false
I0602 14:24:45.227800   17336 follow.go:145] "fleet: upstream" upstream="u2" service="s" address="10.0.0.2:80" leaving=false
I0602 14:24:46.227800   17336 follow.go:203] "fleet: zones withdrawn" zones=["a","b c"]
I0602 14:25:06.288550   17336 attempt.go:140] "attempt: done" request="r1" upstream="u1" version="v1" fate="unknown" err="a \"quoted\" text"
I0602 14:24:06.288600   17336 watcher.go:100] "catalog: store lost" kind="upstream" err="no route"
I0602 14:24:06.288650   17336 run.go:173] "request: refused" request="r1" code=1203 name="upstream_failed" because="unknown" retryAfter=1000
I0602 14:24:06.288733   17336 service.go:156] "request: done" request="r1" outcome="upstream_failed" status=502
I0602 14:24:07.000000   17336 follow.go:107] "config: in force" version=9 revision=20 routes=17 keys=20
I0602 14:24:08.288733   17336 service.go:156] "request: done" request="r2" outcome="answered" status=200
`

func reportOf(t *testing.T, text, request string) Report {
	t.Helper()
	add, report := NewCollector(request)
	require.NoError(t, Read(strings.NewReader(text), "vm-1.log", add))
	return report()
}

func TestReport(t *testing.T) {
	report := reportOf(t, sampleLog, "r1")
	require.Len(t, report.RequestLines, 3)
	assert.Equal(t, `a "quoted" text`, report.RequestLines[0].Get("err"))
	var events []string
	for _, l := range report.Context {
		events = append(events, l.Event+l.Get("upstream"))
	}
	assert.Equal(t, []string{"process: start", "config: in force", "fleet: upstreamu1", "fleet: zones withdrawn", "catalog: store lost"}, events,
		"lines keep the order of the log although the clock jumped; lines about other upstreams and lines after the request are left out")
	var out strings.Builder
	require.NoError(t, report.Print(&out))
	assert.Contains(t, out.String(), "cause: upstream_failed.")
	assert.Contains(t, out.String(), "request: refused: because=unknown")
	assert.Contains(t, out.String(), `zones=["a","b c"]`)
}

func TestMergedLogs(t *testing.T) {
	merged := ""
	for _, l := range strings.Split(strings.TrimSpace(sampleLog), "\n") {
		merged += "  12.2888 vm-7 " + l + "\n"
	}
	report := reportOf(t, merged, "r1")
	require.Len(t, report.RequestLines, 3)
	assert.Equal(t, "vm-7", report.RequestLines[0].Source)
}

func TestUnknownRequest(t *testing.T) {
	var out strings.Builder
	require.NoError(t, reportOf(t, sampleLog, "nobody").Print(&out))
	assert.Contains(t, out.String(), "no log line contains request nobody")
}

func TestTruncatedLog(t *testing.T) {
	var out strings.Builder
	begin, _, _ := strings.Cut(sampleLog, `"request: refused"`)
	require.NoError(t, reportOf(t, begin, "r1").Print(&out))
	assert.Contains(t, out.String(), "the process or its log ended")
}

// FuzzRead guards against panics and against passing on a line without event, source
// and first key.
func FuzzRead(f *testing.F) {
	f.Add(sampleLog)
	f.Fuzz(func(t *testing.T, text string) {
		_ = Read(strings.NewReader(text), "x", func(l Line) {
			if l.Event == "" && len(l.Fields) > 0 && l.Fields[0].Key == "" && l.Source == "" {
				t.Fatal("empty line")
			}
		})
	})
}
