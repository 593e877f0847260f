package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxContextLines is the maximum number of context lines from before the request
// that are kept for each component and upstream of a source.
const maxContextLines = 3

// contextComponents are the components whose log lines describe the state of a
// process, such as its configuration and its cached list of upstreams.
var contextComponents = []string{"config", "catalog", "fleet", "canary", "isolation", "process", "gossip"}

// Report is the information that the logs contain about one request.
type Report struct {
	Request string
	// RequestLines are the log lines of the request. Context are the lines that
	// describe the state of the processes involved, shortly before and during the
	// request.
	RequestLines []Line
	Context      []Line
}

// collector selects the lines about one request while logs are read.
type collector struct {
	request       string
	requestLines  []Line
	recentContext map[string]map[string][]Line // by source, then by component and upstream
	context       []Line
	inProgress    map[string]bool // by source: whether the request is in progress there
}

// NewCollector returns a function to pass every log line to, and a function that
// returns the report once all lines are read.
func NewCollector(request string) (add func(Line), report func() Report) {
	c := &collector{request: request, recentContext: make(map[string]map[string][]Line), inProgress: make(map[string]bool)}
	return c.add, c.report
}

func (c *collector) add(l Line) {
	if l.Get("request") == c.request {
		c.addRequestLine(l)
		return
	}
	if !slices.Contains(contextComponents, l.Component()) {
		return
	}
	if c.inProgress[l.Source] {
		c.context = append(c.context, l)
		return
	}
	byKey := c.recentContext[l.Source]
	if byKey == nil {
		byKey = make(map[string][]Line)
		c.recentContext[l.Source] = byKey
	}
	key := l.Component() + "\x00" + l.Get("upstream") // lines are limited per component and upstream
	byKey[key] = append(byKey[key], l)
	if len(byKey[key]) > maxContextLines {
		byKey[key] = byKey[key][1:]
	}
}

func (c *collector) addRequestLine(l Line) {
	if !c.inProgress[l.Source] {
		for _, lines := range c.recentContext[l.Source] {
			c.context = append(c.context, lines...)
		}
	}
	c.requestLines = append(c.requestLines, l)
	c.inProgress[l.Source] = l.Event != "request: done"
}

// report drops context lines about upstreams that did not receive the request.
func (c *collector) report() Report {
	usedUpstreams := make(map[string]bool)
	for _, l := range c.requestLines {
		usedUpstreams[l.Get("upstream")] = true
	}
	r := Report{Request: c.request, RequestLines: c.requestLines}
	for _, l := range c.context {
		if u := l.Get("upstream"); u == "" || usedUpstreams[u] {
			r.Context = append(r.Context, l)
		}
	}
	slices.SortStableFunc(r.Context, func(a, b Line) int {
		if a.Source != b.Source {
			return strings.Compare(a.Source, b.Source)
		}
		return a.Number - b.Number
	})
	return r
}

// causes maps each outcome to its explanation. Some explanations name the log lines
// that help to find the cause.
var causes = map[string]string{
	"answered":              "An upstream's response was forwarded to the caller.",
	"caller_gone":           "The caller disconnected, or its deadline passed, before the response was complete.",
	"caller_stalled":        "The caller took nothing of its response for the time of its patience; its connection was closed.",
	"answer_cut":            "The response was passed through as it arrived, for want of room, and broke off; the connection was closed so that the caller can tell.",
	"stream_cut":            "The stream was interrupted and could not be resumed; the connection was closed so that the caller can tell that the response is truncated.",
	"no_upstream":           "No upstream could accept the request; 'because' gives the reason, the fleet lines show the known upstreams and their state.",
	"overloaded":            "Every upstream that was tried rejected the request or was unreachable; the request did not run.",
	"upstream_failed":       "The request may have run at an upstream, which sent no complete response; the request could not be retried.",
	"stopped_before_answer": "The VM stopped before the upstream's response was complete; the request may have run.",
	"draining":              "The VM was stopping and refused the request, which did not run here.",
	"deadline_exceeded":     "The route's timeout or the caller's deadline passed without a response.",
	"unauthenticated":       "The caller's key is not in the active configuration; check the version in the config lines.",
	"unknown_path":          "No route of the active configuration matches this host and path; check the version in the config lines.",
	"not_ready":             "The VM had not received a configuration yet; the catalog lines show whether it could reach the store.",
	"body_too_large":        "The request body exceeds the size limit of the configuration.",
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) error {
	if len(r.RequestLines) == 0 {
		_, err := fmt.Fprintf(out, "no log line contains request %s: no VM whose log was read received it, or its log lines were dropped\n", r.Request)
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", r.Request)
	for _, l := range r.RequestLines {
		writeLine(&b, l)
	}
	b.WriteString("\nstate of the VMs before and during the request\n")
	for _, l := range r.Context {
		writeLine(&b, l)
	}
	b.WriteString("\n" + r.cause() + "\n")
	_, err := io.WriteString(out, b.String())
	return err
}

func writeLine(b *strings.Builder, l Line) {
	fmt.Fprintf(b, "  %s %s %s", l.Clock, l.Source, l.Event)
	for _, f := range l.Fields {
		if f.Key != "request" && f.Value != "" {
			fmt.Fprintf(b, " %s=%s", f.Key, f.Value)
		}
	}
	b.WriteByte('\n')
}

// cause explains the outcome in the request's last line.
func (r Report) cause() string {
	last := r.RequestLines[len(r.RequestLines)-1]
	outcome := last.Get("outcome")
	if last.Event != "request: done" || outcome == "" {
		return "cause: the process or its log ended before the request was done."
	}
	explanation := causes[outcome]
	if explanation == "" {
		explanation = "See the table of result codes."
	}
	text := fmt.Sprintf("cause: %s. %s", outcome, explanation)
	for _, l := range r.RequestLines {
		if because := l.Get("because"); because != "" {
			text += fmt.Sprintf(" %s: because=%s.", l.Event, because)
		}
	}
	return text
}
