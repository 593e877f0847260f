// Package rating is a stand-in for the service that rates answers. It reads the
// true quality that the engine stand-in writes at the end of each answer.
package rating

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// Settings configures the rating service.
type Settings struct {
	// ProcessingTime is the time that one rating takes.
	ProcessingTime document.Duration `yaml:"time"`
	// Noise is the half width of the error of ratings, from 0 to 1.
	Noise float64 `yaml:"noise"`
}

// Counters is the body of GET /counters.
type Counters struct {
	Ratings int64 `json:"ratings"`
}

// Service is the stand-in for the rating service.
type Service struct {
	Server   *faults.Server
	settings Settings
	ratings  atomic.Int64
}

// New returns a service whose server is not started.
func New(name string, settings Settings) *Service {
	s := &Service{settings: settings}
	s.Server = faults.NewServer(name, func() any { return Counters{s.ratings.Load()} })
	s.Server.WorkRouter().Post("/v1/ratings", s.rate)
	return s
}

func (s *Service) rate(w http.ResponseWriter, r *http.Request) {
	var body wire.RatingBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.ratings.Add(1)
	duration := s.settings.ProcessingTime.D()
	call := r.Method + " " + r.URL.Path
	if rule := s.Server.Switches.Select(faults.Late, call); rule != nil {
		duration += rule.Delay()
	}
	ctxwait.For(r.Context(), duration)
	if s.Server.Switches.Select(faults.LostAnswer, call) != nil {
		panic(http.ErrAbortHandler)
	}
	if s.Server.Switches.Select(faults.Silent, call) != nil {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	quality, _ := engine.ParseQuality(body.Answer)
	const steps = 1 << 20
	u := float64(xxhash.Sum64String(body.RequestID+body.PromptHash)%steps)/steps*2 - 1
	faults.WriteJSON(w, http.StatusOK, wire.RatingAnswer{Rating: min(max(quality+u*s.settings.Noise, 0), 1)})
}
