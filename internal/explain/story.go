package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// contextBefore is how many lines of belief before a request are kept for each
// part of the program.
const contextBefore = 3

// beliefs are the parts whose lines say what a process believes.
var beliefs = []string{"config", "catalog", "fleet", "canary", "isolation", "process", "gossip"}

// Story is what the logs tell of one request.
type Report struct {
	Request string
	// Own are the request's lines, Context what its processes believed before
	// and during it.
	RequestLines []Line
	Context      []Line
}

// collector gathers the story of one request while logs are read.
type collector struct {
	request string
	own     []Line
	recent  map[string]map[string][]Line // beliefs by source and part
	context []Line
	open    map[string]bool // sources where the request is in progress
}

// Collector returns a function that takes all lines, and one that returns the
// story once all are read.
func NewCollector(request string) (take func(Line), story func() Report) {
	c := &collector{request: request, recent: make(map[string]map[string][]Line), open: make(map[string]bool)}
	return c.take, c.story
}

func (c *collector) take(l Line) {
	if l.Get("request") == c.request {
		c.ownLine(l)
		return
	}
	if !slices.Contains(beliefs, l.Component()) {
		return
	}
	if c.open[l.Source] {
		c.context = append(c.context, l)
		return
	}
	parts := c.recent[l.Source]
	if parts == nil {
		parts = make(map[string][]Line)
		c.recent[l.Source] = parts
	}
	key := l.Component() + "\x00" + l.Get("upstream") // of each upstream the latest
	parts[key] = append(parts[key], l)
	if len(parts[key]) > contextBefore {
		parts[key] = parts[key][1:]
	}
}

func (c *collector) ownLine(l Line) {
	if !c.open[l.Source] {
		for _, lines := range c.recent[l.Source] {
			c.context = append(c.context, lines...)
		}
	}
	c.own = append(c.own, l)
	c.open[l.Source] = l.Event != "request: done"
}

// story keeps of the context what concerns the request: beliefs of a general
// kind, and of upstreams only those that it was sent to.
func (c *collector) story() Report {
	used := make(map[string]bool)
	for _, l := range c.own {
		used[l.Get("upstream")] = true
	}
	s := Report{Request: c.request, RequestLines: c.own}
	for _, l := range c.context {
		if u := l.Get("upstream"); u == "" || used[u] {
			s.Context = append(s.Context, l)
		}
	}
	slices.SortStableFunc(s.Context, func(a, b Line) int {
		if a.Source != b.Source {
			return strings.Compare(a.Source, b.Source)
		}
		return a.Number - b.Number
	})
	return s
}

// causes say in words what an outcome means and where to look.
var causes = map[string]string{
	"answered":          "An upstream's answer was passed on.",
	"caller_gone":       "The caller left, or its deadline passed, before the answer was whole.",
	"stream_cut":        "The stream broke and could not go on; the connection was closed so that it does not look whole.",
	"no_upstream":       "No upstream could take the request; 'because' says why, the fleet lines below show what was known of them.",
	"overloaded":        "Every upstream that was tried rejected the request or could not be reached; it did not run.",
	"upstream_failed":   "An upstream may have run the request and gave no whole answer; it could not be repeated.",
	"deadline_exceeded": "The route's timeout or the caller's deadline passed without an answer.",
	"unauthenticated":   "The key is not in the configuration in force; compare the version in the config lines below.",
	"unknown_path":      "No route of the configuration in force has this host and path; compare its version below.",
	"not_ready":         "The VM knew no configuration yet; the catalog lines below show whether it reached the store.",
	"body_too_large":    "The body is longer than the configuration allows.",
}

// Print writes the story.
func (s Report) Print(out io.Writer) error {
	if len(s.RequestLines) == 0 {
		_, err := fmt.Fprintf(out, "no line names the request %s; it reached no VM whose log was read, or its lines were dropped\n", s.Request)
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.Request)
	for _, l := range s.RequestLines {
		writeLine(&b, l)
	}
	b.WriteString("\nwhat the VM believed before and meanwhile\n")
	for _, l := range s.Context {
		writeLine(&b, l)
	}
	b.WriteString("\n" + s.cause() + "\n")
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

// cause names the cause, as far as the last line tells.
func (s Report) cause() string {
	last := s.RequestLines[len(s.RequestLines)-1]
	outcome := last.Get("outcome")
	if last.Event != "request: done" || outcome == "" {
		return "cause: the process ended, or its log, before the request did."
	}
	words := causes[outcome]
	if words == "" {
		words = "See the table of result codes."
	}
	text := fmt.Sprintf("cause: %s. %s", outcome, words)
	for _, l := range s.RequestLines {
		if because := l.Get("because"); because != "" {
			text += fmt.Sprintf(" %s: because=%s.", l.Event, because)
		}
	}
	return text
}
