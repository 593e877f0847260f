// Package load sends seeded open-loop load to a running fleet, measures latency
// and errors as callers see them, and checks the results against the logs of
// the stand-ins, the test servers that replace upstreams.
package load

import (
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
)

// Mix describes a load as a weighted mix of request streams.
type Mix struct {
	// Seed determines arrivals, prompts and idempotency keys.
	Seed uint64 `yaml:"seed"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `yaml:"rate" validate:"gt=0,lte=100000"`
	// Duration is the time during which requests arrive. Requests of its first
	// WarmUp are not measured.
	Duration settings.Duration `yaml:"duration" validate:"gt=0"`
	WarmUp   settings.Duration `yaml:"warm_up" validate:"gte=0"`
	// Phases divide the duration for the report. The default is one phase.
	Phases []Phase `yaml:"phases" validate:"dive"`
	// Faults are applied to stand-ins during the run.
	Faults []FaultAt `yaml:"faults" validate:"dive"`
	// Teams send the requests.
	Teams []Team `yaml:"teams" validate:"required,min=1,dive"`
	// Streams are the kinds of requests.
	Streams []Stream `yaml:"streams" validate:"required,min=1,dive"`
}

// Phase is a named part of the duration.
type Phase struct {
	Name string `yaml:"name" validate:"required"`
	// Until is the phase's end since the start.
	Until settings.Duration `yaml:"until" validate:"gt=0"`
}

// FaultAt replaces the faults of a stand-in at a time since the start.
type FaultAt struct {
	At settings.Duration `yaml:"at" validate:"gte=0"`
	// StandIn is the address, IP:port.
	StandIn string `yaml:"stand_in" validate:"required,address"`
	// Set is the JSON body of PUT /faults.
	Set string `yaml:"set" validate:"required"`
}

// Team is one of the teams with its bearer key.
type Team struct {
	Name string `yaml:"name" validate:"required"`
	Key  string `yaml:"key" validate:"required"`
}

// Kind is the kind of request in a stream.
type Kind string

// Kinds of streams.
const (
	// Chat is a chat completion.
	Chat Kind = "chat"
	// Lookup is an idempotent request to a plain service.
	Lookup Kind = "lookup"
	// Write is a request to a plain service that must run at most once.
	Write Kind = "write"
)

// Stream is a sequence of similar requests.
type Stream struct {
	Name string `yaml:"name" validate:"required,name"`
	Kind Kind   `yaml:"kind" validate:"required,oneof=chat lookup write"`
	// Weight is the stream's weight among the arrivals of all streams.
	Weight float64 `yaml:"weight" validate:"gt=0"`
	// Teams send the stream's requests in equal parts.
	Teams []string `yaml:"teams" validate:"required,min=1"`
	// Class is the request class; empty leaves it to the team's default class.
	Class string `yaml:"class"`
	// Deadline is the deadline that callers request; zero leaves it to the
	// class.
	Deadline settings.Duration `yaml:"deadline" validate:"gte=0"`

	// Model is the model of chats, for example "auto".
	Model string `yaml:"model" validate:"required_if=Kind chat"`
	// Streamed is true if callers of chats request streamed responses.
	Streamed bool `yaml:"streamed"`
	// Prompts is the number of distinct prompts. Words is the length of each.
	Prompts int `yaml:"prompts" validate:"gte=0"`
	Words   int `yaml:"words" validate:"gte=0"`
	// Prefixes is the number of distinct system messages per team.
	Prefixes int `yaml:"prefixes" validate:"gte=0"`
	// MaxTokens limits the response; zero leaves the limit to the engine.
	MaxTokens int `yaml:"max_tokens" validate:"gte=0"`
	// Sessions is the number of session names; zero sends none.
	Sessions int `yaml:"sessions" validate:"gte=0"`
	// Quality is the target mean quality, for the report.
	Quality float64 `yaml:"quality" validate:"gte=0,lte=1"`

	// Service and Path are the destination of lookups and writes. Lookups append
	// an item number to the path.
	Service string `yaml:"service" validate:"required_unless=Kind chat"`
	Path    string `yaml:"path" validate:"required_unless=Kind chat"`
	// Resend is the share of writes that their caller resends to another VM
	// under the same idempotency key while the first attempt may still run.
	Resend float64 `yaml:"resend" validate:"gte=0,lte=1"`
}

const (
	defaultPrompts  = 200
	defaultWords    = 40
	defaultPrefixes = 8
	itemCount       = 1000
)

// OpenMix reads and validates a mix from a file.
func OpenMix(file string) (*Mix, error) {
	var m Mix
	if err := settings.Load(file, &m); err != nil {
		return nil, trace.Wrap(err)
	}
	teams := map[string]bool{}
	for _, t := range m.Teams {
		teams[t.Name] = true
	}
	for i := range m.Streams {
		s := &m.Streams[i]
		s.setDefaults()
		for _, t := range s.Teams {
			if !teams[t] {
				return nil, trace.Wrap(result.New(result.SettingsInvalid, "%s: stream %s: team %q is not in teams", file, s.Name, t))
			}
		}
	}
	if len(m.Phases) == 0 {
		m.Phases = []Phase{{Name: "all", Until: m.Duration}}
	}
	return &m, nil
}

func (s *Stream) setDefaults() {
	set := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	set(&s.Prompts, defaultPrompts)
	set(&s.Words, defaultWords)
	set(&s.Prefixes, defaultPrefixes)
}

func (m *Mix) teamKey(team string) string {
	for _, t := range m.Teams {
		if t.Name == team {
			return t.Key
		}
	}
	return ""
}
