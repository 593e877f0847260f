package operator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// stampFormat is the format of a stamp's wall time, in UTC.
const stampFormat = "2006-01-02 15:04:05.000"

// WriteStatus writes a status as text tables.
func WriteStatus(w io.Writer, s Status) error {
	fmt.Fprintf(w, "generation %d as seen by %s in %s; its router serves callers on %s\n", s.Generation, s.VM, s.Zone, s.Router)
	if s.Platform.Reachable {
		fmt.Fprintf(w, "platform reachable, last response %d ms ago\n", s.Platform.LastAnswerMS)
	} else {
		fmt.Fprintf(w, "platform UNREACHABLE, last response %d ms ago: %s\n", s.Platform.LastAnswerMS, s.Platform.Detail)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nZONE\tSERVICE\tLIVE VMS\tSHARE")
	for _, z := range s.Zones {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.0f%%\n", z.Name, choose(z.Withdrawn, "taken out", "in service"), z.Live, z.Share*100)
	}
	fmt.Fprintln(t, "\nVM\tZONE\tSTATUS\tGENERATION\tROUTER\tINCARNATION")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\n", m.VM, m.Zone, m.Status, m.Generation, choose(m.RouterUp, "up", "DOWN"), m.Incarnation)
	}
	if len(s.RollOuts) > 0 {
		fmt.Fprintln(t, "\nROLL-OUT\tSHARE\tSTATE\tREASON")
	}
	for _, r := range s.RollOuts {
		fmt.Fprintf(t, "%s@%s\t%.0f%%\t%s\t%s\n", r.Model, r.Version, r.Share*100, r.State, r.Reason)
	}
	if len(s.Upstreams) > 0 {
		fmt.Fprintln(t, "\nUPSTREAM\tZONE\tSTATE\tRUNNING\tDETAIL")
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", u.Name, u.Zone, u.State, u.Running, u.Detail)
	}
	return t.Flush()
}

func choose(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

// WriteEvent writes one event in one line.
func WriteEvent(w io.Writer, e timeline.Event) {
	at := time.UnixMilli(e.Stamp.WallMS).UTC().Format(stampFormat)
	fields := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		fields = append(fields, f.Key+"="+quote(f.Value))
	}
	request := cmp.Or(e.Request, "-")
	fmt.Fprintf(w, "%s+%d %s/%s#%d %s %s %s\n", at, e.Stamp.Count, e.VM, e.Role, e.Incarnation, request, e.Name, strings.Join(fields, " "))
}

// quote quotes a value that is empty or contains spaces, quotes or control
// characters.
func quote(s string) string {
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r == 0x7f }) {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// rereadWindowMS is how far before its newest event a follower reads again, in
// milliseconds. Events of different processes may arrive out of stamp order.
const rereadWindowMS = 5000

// Follower removes duplicates from repeated reads of the timeline.
type Follower struct {
	shown   map[eventID]int64
	sinceMS int64
}

type eventID struct {
	vm          string
	role        string
	incarnation uint64
	sequence    uint64
}

// NewFollower returns a follower that starts at a wall time in milliseconds.
func NewFollower(sinceMS int64) *Follower {
	return &Follower{shown: make(map[eventID]int64), sinceMS: sinceMS}
}

// SinceMS is the wall time from which to read next.
func (f *Follower) SinceMS() int64 { return f.sinceMS }

// New returns the events that it has not returned before, in stamp order, and
// advances SinceMS. It drops the IDs of events before the new SinceMS, which
// later reads do not return.
func (f *Follower) New(events []timeline.Event) []timeline.Event {
	var out []timeline.Event
	newest := f.sinceMS + rereadWindowMS
	for _, e := range events {
		id := eventID{e.VM, e.Role, e.Incarnation, e.Sequence}
		if _, ok := f.shown[id]; ok {
			continue
		}
		f.shown[id] = e.Stamp.WallMS
		newest = max(newest, e.Stamp.WallMS)
		out = append(out, e)
	}
	f.sinceMS = newest - rereadWindowMS
	for id, at := range f.shown {
		if at < f.sinceMS {
			delete(f.shown, id)
		}
	}
	slices.SortFunc(out, timeline.Compare)
	return out
}
