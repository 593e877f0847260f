package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one request with a scheduled time that does not depend on the
// results of other requests.
type Arrival struct {
	// N numbers arrivals from 0.
	N int
	// At is the scheduled time since the start.
	At     time.Duration
	Stream *Stream
	Team   string
	// RouterNumber selects the router, modulo the number of routers.
	RouterNumber int
	// Prefix and Prompt are the system and user messages of a chat.
	Prefix string
	Prompt string
	// Session is a session name; empty for none.
	Session string
	// Item is the item number of a lookup.
	Item int
	// Resend is how the caller resends a write.
	Resend ResendMode
	// ResendDelay is the time from At to the second attempt of mode Twice, or to
	// closing the first connection in mode Abandon.
	ResendDelay time.Duration
}

// ResendMode is how a caller resends a request.
type ResendMode string

// Resend modes.
const (
	// Once sends a request once, and again only if it is a write and failed.
	Once ResendMode = ""
	// Twice sends a second attempt while the first may still be in flight.
	Twice ResendMode = "twice"
	// Abandon closes the first connection and sends the request again.
	Abandon ResendMode = "abandon"
)

// maxResendDelay is the upper limit of Arrival.ResendDelay.
const maxResendDelay = 40 * time.Millisecond

var promptWords = strings.Fields("engrave a spiral of ibis and reed along the rim for the merchant of Khan with silver cap and strap please describe it in two lines")

// Plan returns the arrivals of a mix as a Poisson process. The seed determines
// all of its random choices.
func Plan(m *Mix) []Arrival {
	rng := rand.New(rand.NewPCG(m.Seed, 1))
	total := 0.0
	for _, s := range m.Streams {
		total += s.Weight
	}
	var out []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
		if at >= m.Duration.D() {
			return out
		}
		out = append(out, m.newArrival(rng, len(out), at, pickStream(m.Streams, total, rng)))
	}
}

func pickStream(streams []Stream, total float64, rng *rand.Rand) *Stream {
	x := rng.Float64() * total
	for i := range streams {
		x -= streams[i].Weight
		if x < 0 {
			return &streams[i]
		}
	}
	return &streams[len(streams)-1]
}

func (m *Mix) newArrival(rng *rand.Rand, n int, at time.Duration, s *Stream) Arrival {
	a := Arrival{N: n, At: at, Stream: s, Team: s.Teams[rng.IntN(len(s.Teams))], RouterNumber: rng.IntN(1 << 20)}
	if s.Sessions > 0 {
		a.Session = fmt.Sprintf("%s-%d", s.Name, rng.IntN(s.Sessions))
	}
	switch s.Kind {
	case Chat:
		// Squaring favors low numbers, so that some prompts and prefixes are
		// more frequent than others.
		u := rng.Float64()
		p := int(u * u * float64(s.Prompts))
		a.Prefix = fmt.Sprintf("Team %s, stream %s, rule %d.", a.Team, s.Name, p%s.Prefixes)
		a.Prompt = promptText(m.Seed, s, p)
	case Lookup:
		a.Item = rng.IntN(itemCount)
	case Write:
		if rng.Float64() < s.Resend {
			a.Resend = Twice
			if rng.IntN(2) == 0 {
				a.Resend = Abandon
			}
			a.ResendDelay = time.Duration(rng.Int64N(int64(maxResendDelay)))
		}
	}
	return a
}

// promptText returns the text of a stream's n-th prompt.
func promptText(seed uint64, s *Stream, n int) string {
	rng := rand.New(rand.NewPCG(seed, uint64(n)+1))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d:", s.Name, n)
	for range s.Words {
		b.WriteByte(' ')
		b.WriteString(promptWords[rng.IntN(len(promptWords))])
	}
	return b.String()
}
