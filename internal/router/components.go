package router

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"

	"github.com/cranberrypier/cranberrypier/internal/admission"
	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/cascade"
	"github.com/cranberrypier/cranberrypier/internal/claims"
	"github.com/cranberrypier/cranberrypier/internal/delivery"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/quarantine"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/versions"
)

const (
	// retryRatio is how many retries each first attempt adds to the retry budget.
	retryRatio = 0.1
	// maxSavedRetries is the most retries that the retry budget can hold.
	maxSavedRetries = 50
)

// Components holds the components that make the request path's decisions.
type Components struct {
	dig.In

	Admission  *admission.Controller
	Versions   *versions.Service
	Cascade    *cascade.Service
	Placer     *placement.Placer
	Deliverer  *delivery.Deliverer
	Claims     *claims.Service
	Billing    *billing.Sender
	Quarantine *quarantine.Service
}

// provideComponents registers the constructors of the components.
func provideComponents(c *dig.Container) error {
	return errors.Join(
		c.Provide(newAdmission),
		c.Provide(newVersions),
		c.Provide(newCascade),
		c.Provide(newPlacer),
		c.Provide(newDeliverer),
		c.Provide(newClaims),
		c.Provide(newBilling),
		c.Provide(newQuarantine),
	)
}

func newAdmission(cfg settings.Router, p peer.Caller, c *Control, reg prometheus.Registerer) *admission.Controller {
	limits := func(team string) (admission.Limits, bool) {
		idx := c.Index()
		if idx == nil {
			return admission.Limits{}, false
		}
		t, ok := idx.Team(team)
		if !ok {
			return admission.Limits{}, false
		}
		return admission.LimitsOf(t), true
	}
	return admission.New(admission.Config{VM: cfg.VM, Capacity: cfg.Limits.MaxInFlight}, p, limits, reg)
}

func newVersions(cfg settings.Router, p peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) (*versions.Service, error) {
	keys, err := pki.SessionKeys(cfg.SessionKeyFile)
	if err != nil {
		return nil, err
	}
	return versions.New(versions.Config{VM: cfg.VM, Keys: keys}, p, rec, reg)
}

func newPlacer(cfg settings.Router, rec timeline.Recorder, reg prometheus.Registerer) *placement.Placer {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.VM))
	return placement.New(placement.Config{VM: cfg.VM, Zone: cfg.Zone, Seed: h.Sum64(), Policy: placement.Policy(cfg.Policy.Placement)}, rec, reg)
}

func newDeliverer(reg prometheus.Registerer) *delivery.Deliverer {
	return delivery.NewDeliverer(delivery.NewBudget(retryRatio, maxSavedRetries), reg)
}

func newClaims(cfg settings.Router, id peer.Identity, st platform.Store, p peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) (*claims.Service, error) {
	keys, err := pki.SessionKeys(cfg.SessionKeyFile)
	if err != nil {
		return nil, err
	}
	return claims.New(claims.Config{VM: cfg.VM, Incarnation: id.Incarnation, Secret: keys[0]}, st, p, rec, reg), nil
}

func newBilling(cfg settings.Router, id peer.Identity, p peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *billing.Sender {
	return billing.NewSender(billing.Config{VM: cfg.VM, Incarnation: id.Incarnation, Agent: cfg.Agent}, p, rec, reg)
}

func newQuarantine(cfg settings.Router, id peer.Identity, p peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *quarantine.Service {
	return quarantine.New(quarantine.Config{VM: cfg.VM, Incarnation: id.Incarnation}, p, rec, reg)
}

// registerHandlers registers the peer message handlers of the components and of
// the time line.
func registerHandlers(m peer.Mux, l *timeline.Log, components Components) {
	components.Admission.Register(m)
	components.Versions.Register(m)
	components.Cascade.Register(m)
	components.Claims.Register(m)
	components.Quarantine.Register(m)
	m.Handle(timeline.ReadType, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var q timeline.ReadRequest
		if err := cbor.Unmarshal(b, &q); err != nil {
			return nil, result.New(result.PeerMessageInvalid, "timeline read: %v", err)
		}
		return l.Serve(q), nil
	})
}

// HandleIndex implements part of Follower.
func (s *Server) HandleIndex(idx *document.Index) {
	s.withdrawals.setIndex(idx)
	s.loadPoller.setIndex(idx)
	s.placer.SetIndex(idx)
}

// HandleView implements part of Follower.
func (s *Server) HandleView(v membership.View, liveInZone, liveInFleet int) {
	s.placer.SetVMCount(liveInZone, liveInFleet)
	s.admission.SetView(v, liveInFleet)
	s.versions.SetView(v)
	s.cascade.SetView(v)
	s.claims.SetView(v)
	s.biller.SetView(v)
	s.quarantine.SetView(v)
}

// HandleSeats implements part of Follower.
func (s *Server) HandleSeats(held []int, notAfter time.Time) {
	s.placer.SetSeats(seats.Held{Seats: held, NotAfter: notAfter})
}

func newCascade(cfg settings.Router, id peer.Identity, p peer.Caller, reg prometheus.Registerer) *cascade.Service {
	return cascade.New(cfg.VM, cfg.VM+"/"+decimal(id.Incarnation), p, reg)
}

// HandleLeaving implements part of Follower.
func (s *Server) HandleLeaving(addresses []string) {
	s.placer.SetLeaving(addresses)
}

// newPlanner returns the planner that the policy names: the learned one or a
// baseline for comparisons.
func newPlanner(policy string, learned cascade.Planner) cascade.Planner {
	switch policy {
	case "strongest":
		return cascade.Strongest{}
	case "cheapest-first":
		return cascade.CheapestFirst{}
	}
	return learned
}
