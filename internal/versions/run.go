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

// TypePin is the peer message that sends a PinRequest to a session's home.
const TypePin peer.Type = "versions.pin"

const (
	// pinTimeout bounds each call to a session's home or backup. If neither answers,
	// a session that is new to this VM gets the version that it would get without
	// roll-outs (see chooseWithoutHome), and other sessions follow the cached pin.
	pinTimeout = 60 * time.Millisecond
	// defaultMaxPins is the default number of cached pins. A pin takes about 200 bytes.
	defaultMaxPins = 1 << 16
	// maxSessionNameBytes bounds the length of a session's name.
	maxSessionNameBytes = 256
)

// Config holds the service's settings.
type Config struct {
	VM string
	// Keys are the HMAC keys of session tokens, the same on every VM. The first
	// key signs; all keys are accepted.
	Keys [][]byte
	// MaxPins bounds the number of cached pins of named sessions. Default 65536.
	MaxPins int
}

// Service chooses versions. Its methods are safe for concurrent use. A mutex
// guards the pins and the view; it is not held during calls to peers.
type Service struct {
	cfg      Config
	signer   signer
	peers    peer.Caller
	recorder timeline.Recorder

	mu   sync.Mutex
	pins *Pins
	view membership.View

	// runInBackground runs the calls that copy pins to the backup VM.
	runInBackground func(func())
	choices         *prometheus.CounterVec
}

// New returns the service. The argument peers may be nil for a VM without peers;
// the recorder and reg may be nil too.
func New(cfg Config, peers peer.Caller, recorder timeline.Recorder, reg prometheus.Registerer) (*Service, error) {
	if len(cfg.Keys) == 0 || len(cfg.Keys[0]) < minSessionKeyBytes {
		return nil, result.New(result.KeyFilesInvalid, "the session key needs at least %d bytes", minSessionKeyBytes)
	}
	if cfg.MaxPins <= 0 {
		cfg.MaxPins = defaultMaxPins
	}
	s := &Service{
		cfg: cfg, signer: signer{cfg.Keys}, peers: peers, recorder: recorder, pins: NewPins(cfg.MaxPins),
		runInBackground: func(f func()) { go f() },
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

// minSessionKeyBytes is the minimum length of a session key.
const minSessionKeyBytes = 16

// SetView applies a membership view. Sessions' homes are chosen from its members.
func (s *Service) SetView(v membership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
}

// SplitSession returns a session header's value as a token or as a name.
func SplitSession(header string) (token, name string) {
	if strings.HasPrefix(header, TokenPrefix) {
		return header, ""
	}
	return "", header
}

// StillAllowed checks a choice again when the request is dispatched; see the
// function of the same name.
func (s *Service) StillAllowed(idx *document.Index, team string, c Choice) error {
	return StillAllowed(idx, team, c)
}

// Choose returns the version that serves a request and the session token to
// return with the answer. Errors are UnknownModel, TeamNotAllowed, NoVersion
// and SessionInvalid; in each case the request did not run. For a named session,
// Choose may call the session's home and backup, each for at most pinTimeout,
// unless this VM caches a confirmed pin to a usable version. If the home's pin is
// to a version that is not usable, Choose calls them a second time.
func (s *Service) Choose(idx *document.Index, shares []RollOutShare, r ChooseRequest) (Choice, string, error) {
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
	d.checkInvariants(c, pinned)
	s.choices.WithLabelValues(c.Model, c.Version, c.Reason).Inc()
	s.record(r, c)
	return c, token, nil
}

func (s *Service) choose(d *decider, exact string, r ChooseRequest) (c Choice, token, pinned string, err error) {
	ses := &session{ID: r.RequestID, Team: r.Team}
	switch {
	case r.SessionToken != "":
		ses, err = s.signer.verify(r.SessionToken, r.Team)
		if err != nil {
			return Choice{}, "", "", err
		}
	case len(r.SessionName) > maxSessionNameBytes:
		return Choice{}, "", "", result.New(result.SessionInvalid, "the session name exceeds %d bytes", maxSessionNameBytes)
	case r.SessionName != "":
		ses.ID = r.SessionName
	}
	switch {
	case exact != "":
		c, err = d.chooseExact(exact)
	case r.SessionToken != "" && ses.pin(d.model.Name) != "":
		pinned = ses.pin(d.model.Name)
		c, err = d.choosePinned(pinned, ses.ID)
	case r.SessionName != "":
		c, pinned, err = s.chooseNamed(d, r.SessionName)
	default:
		c, err = d.chooseNew(r.Team + "\x00" + ses.ID)
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

// chooseNamed chooses for a session whose name the caller set. The string is the
// session's pinned version that checkInvariants compares with the choice, or empty.
func (s *Service) chooseNamed(d *decider, name string) (Choice, string, error) {
	k := pinKey{d.team, name, d.model.Name}
	seed := d.team + "\x00" + name
	s.mu.Lock()
	cached, hasPin := s.pins.get(k)
	s.mu.Unlock()
	if hasPin && cached.confirmed && d.usable(cached.pin.Version) {
		return Choice{Model: d.model.Name, Version: cached.pin.Version, Reason: ReasonPin}, cached.pin.Version, nil
	}
	var proposed Choice
	var err error
	if hasPin {
		proposed, err = d.choosePinned(cached.pin.Version, seed)
	} else {
		proposed, err = d.chooseNew(seed)
	}
	if err != nil {
		return Choice{}, "", err
	}
	return s.agreeWithHome(d, k, proposed, seed, hasPin)
}

// agreeWithHome asks the session's home for its pin and proposes a version in case
// the home has none. If the home's pin is to a version that is not usable, the
// session moves, and the home is notified. The string is the session's pinned version
// that checkInvariants compares with the choice, or empty.
func (s *Service) agreeWithHome(d *decider, k pinKey, proposed Choice, seed string, hasPin bool) (Choice, string, error) {
	pin := Pin{k.team, k.session, k.model, proposed.Version, d.idx.Generation()}
	answer, confirmed, ok := s.requestPin(PinRequest{Proposed: pin, MovedFrom: proposed.MovedFrom})
	if !ok && !hasPin {
		// Neither home nor backup answered. A name that is new to this VM may belong
		// to an existing session, most likely one on the stable version.
		return d.chooseWithoutHome(proposed, seed)
	}
	if !ok {
		s.storePin(pin, false)
		return proposed, proposed.MovedFrom, nil
	}
	if answer.Pin.Version == proposed.Version {
		s.storePin(answer.Pin, confirmed)
		if proposed.Moved && !answer.Replaced {
			// Another VM has moved the session and reported the move to the caller.
			proposed.Moved, proposed.MovedFrom, proposed.Reason = false, "", ReasonPin
		}
		return proposed, proposed.MovedFrom, nil
	}
	c, err := d.choosePinned(answer.Pin.Version, seed)
	if err != nil {
		return Choice{}, "", err
	}
	pin.Version = c.Version
	s.storePin(pin, confirmed)
	if c.Moved {
		_, _, _ = s.requestPin(PinRequest{Proposed: pin, MovedFrom: c.MovedFrom})
	}
	return c, answer.Pin.Version, nil
}

func (s *Service) storePin(p Pin, confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins.put(p, confirmed)
}

func (s *Service) record(r ChooseRequest, c Choice) {
	if s.recorder == nil {
		return
	}
	s.recorder.Record(r.RequestID, "versions.chosen", timeline.F("target", c.Target()),
		timeline.F("reason", c.Reason), timeline.F("moved_from", c.MovedFrom))
}
