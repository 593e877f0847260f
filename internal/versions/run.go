package versions

import (
	"strings"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/prometheus/client_golang/prometheus"
)

// TypePin is the peer message that carries a PinRequest to a session's home.
const TypePin peer.Type = "versions.pin"

const (
	// pinTimeout bounds the call to a session's home. It is spent once for a
	// session, VM and model; without an answer the choice is deterministic.
	pinTimeout = 60 * time.Millisecond
	// defaultPins is the number of pins kept, about 200 bytes each.
	defaultPins = 1 << 16
	// maxSessionName bounds a session's name, in bytes.
	maxSessionName = 256
)

// Config is the service's part of the settings.
type Config struct {
	VM string
	// Keys are the HMAC keys of session tokens, the same on every VM. The
	// first one signs, all are accepted.
	Keys [][]byte
	// MaxPins bounds the store of named sessions. Default 65536.
	MaxPins int
}

// Service chooses versions. Its methods are safe for concurrent use; a mutex
// guards the pins for the time of a map lookup.
type Service struct {
	cfg      Config
	signer   signer
	caller   peer.Caller
	recorder timeline.Recorder

	mu   sync.Mutex
	pins *Pins
	view membership.View

	// background runs copies of pins.
	background func(func())
	choices    *prometheus.CounterVec
}

// New returns the service. The caller may be nil for a VM without peers; the
// recorder and reg may be nil.
func New(cfg Config, caller peer.Caller, recorder timeline.Recorder, reg prometheus.Registerer) (*Service, error) {
	if len(cfg.Keys) == 0 || len(cfg.Keys[0]) < sessionKeyMin {
		return nil, result.New(result.KeyMaterial, "the session key needs at least %d bytes", sessionKeyMin)
	}
	if cfg.MaxPins <= 0 {
		cfg.MaxPins = defaultPins
	}
	s := &Service{
		cfg: cfg, signer: signer{cfg.Keys}, caller: caller, recorder: recorder, pins: NewPins(cfg.MaxPins),
		background: func(f func()) { go f() },
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_versions_choices_total",
			Help: "Choices of versions by reason.",
		}, []string{"model", "version", "reason"}),
	}
	if reg != nil {
		reg.MustRegister(s.choices)
	}
	return s, nil
}

// sessionKeyMin is the least length of a session key, in bytes.
const sessionKeyMin = 16

// SetView applies a membership view, from which sessions' homes are found.
func (s *Service) SetView(v membership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
}

// SplitSession tells a session header's value apart: a token or a name.
func SplitSession(header string) (token, name string) {
	if strings.HasPrefix(header, TokenPrefix) {
		return header, ""
	}
	return "", header
}

// StillAllowed checks a choice again at the moment of dispatch; see the
// function of the same name.
func (s *Service) StillAllowed(idx *document.Index, team string, c Choice) error {
	return StillAllowed(idx, team, c)
}

// Choose returns the version of one request and the session's token for the
// answer. Errors: UnknownModel, TeamNotAllowed, NoVersion, SessionInvalid;
// none of them ran. It may call a peer, for at most twice pinTimeout, when a
// session name is new to this VM.
func (s *Service) Choose(idx *document.Index, shares []Share, r ChooseRequest) (Choice, string, error) {
	name, exact := splitModel(r.Model)
	m, ok := idx.Model(name)
	if !ok {
		return Choice{}, "", result.New(result.UnknownModel, "there is no model %q", name)
	}
	d := &decider{idx: idx, shares: shares, team: r.Team, model: m, now: r.Now}
	c, token, pinned, err := s.choose(d, exact, r)
	if err != nil {
		return Choice{}, "", err
	}
	d.check(c, pinned)
	s.choices.WithLabelValues(c.Model, c.Version, c.Reason).Inc()
	s.record(r, c)
	return c, token, nil
}

func (s *Service) choose(d *decider, exact string, r ChooseRequest) (c Choice, token, pinned string, err error) {
	ses := &session{ID: r.RequestID, Team: r.Team}
	switch {
	case r.SessionToken != "":
		ses, err = s.signer.open(r.SessionToken, r.Team)
		if err != nil {
			return Choice{}, "", "", err
		}
	case len(r.SessionName) > maxSessionName:
		return Choice{}, "", "", result.New(result.SessionInvalid, "the session name exceeds %d bytes", maxSessionName)
	case r.SessionName != "":
		ses.ID = r.SessionName
	}
	switch {
	case exact != "":
		c, err = d.exact(exact)
	case r.SessionToken != "" && ses.pin(d.model.Name) != "":
		pinned = ses.pin(d.model.Name)
		c, err = d.kept(pinned, ses.ID)
	case r.SessionName != "":
		c, pinned, err = s.named(d, r.SessionName)
	default:
		c, err = d.fresh(r.Team + "\x00" + ses.ID)
	}
	if err != nil {
		return Choice{}, "", "", err
	}
	if r.SessionToken != "" && ses.pin(c.Model) == c.Version {
		return c, r.SessionToken, pinned, nil
	}
	ses.setPin(c.Model, c.Version)
	token, err = s.signer.sign(ses)
	return c, token, pinned, err
}

// named chooses for a session that the caller named.
func (s *Service) named(d *decider, name string) (Choice, string, error) {
	k := pinKey{d.team, name, d.model.Name}
	seed := d.team + "\x00" + name
	s.mu.Lock()
	h, known := s.pins.get(k)
	s.mu.Unlock()
	if known && h.confirmed && d.usable(h.pin.Version) {
		return Choice{Model: d.model.Name, Version: h.pin.Version, Reason: ReasonPin}, h.pin.Version, nil
	}
	var want Choice
	var err error
	if known {
		want, err = d.kept(h.pin.Version, seed)
	} else {
		want, err = d.fresh(seed)
	}
	if err != nil {
		return Choice{}, "", err
	}
	return s.settle(d, k, want, seed, known)
}

// settle agrees with the session's home on the wanted version.
func (s *Service) settle(d *decider, k pinKey, want Choice, seed string, known bool) (Choice, string, error) {
	pin := Pin{k.team, k.session, k.model, want.Version, d.idx.Generation()}
	a, final, ok := s.ask(PinRequest{Proposed: pin, MovedFrom: want.MovedFrom})
	if !ok && !known {
		// Without the home's word a name that is new here may be an old session
		// elsewhere, most likely one on the stable version.
		return d.apart(want, seed)
	}
	if !ok {
		s.keep(pin, false)
		return want, want.MovedFrom, nil
	}
	if a.Pin.Version == want.Version {
		s.keep(a.Pin, final)
		if want.Moved && !a.Replaced {
			// Another VM moved the session and told the caller.
			want.Moved, want.MovedFrom, want.Reason = false, "", ReasonPin
		}
		return want, want.MovedFrom, nil
	}
	c, err := d.kept(a.Pin.Version, seed)
	if err != nil {
		return Choice{}, "", err
	}
	pin.Version = c.Version
	s.keep(pin, final)
	if c.Moved {
		_, _, _ = s.ask(PinRequest{Proposed: pin, MovedFrom: c.MovedFrom})
	}
	return c, a.Pin.Version, nil
}

func (s *Service) keep(p Pin, confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins.keep(p, confirmed)
}

func (s *Service) record(r ChooseRequest, c Choice) {
	if s.recorder == nil {
		return
	}
	s.recorder.Record(r.RequestID, "versions.chosen", timeline.F("target", c.Target()),
		timeline.F("reason", c.Reason), timeline.F("moved_from", c.MovedFrom))
}
