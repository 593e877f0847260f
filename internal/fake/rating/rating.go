// Package rating is the stand-in of the service that rates answers: it reads
// the true quality that the engine stand-in put at the end of each answer.
package rating

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 4 << 20

// Settings of the rating service.
type Settings struct {
	// Time is how long a rating takes.
	ProcessingTime document.Duration `yaml:"time"`
	// Noise is the half width of the rating's error, from 0 to 1.
	Noise float64 `yaml:"noise"`
}

// Counters is the body of GET /counters.
type Counters struct {
	Ratings int64 `json:"ratings"`
}

// Service is the stand-in.
type Service struct {
	Server *faults.Server
	set    Settings
	count  atomic.Int64
}

// New returns a service that does not listen yet.
func New(name string, set Settings) *Service {
	s := &Service{set: set}
	s.Server = faults.NewServer(name, func() any { return Counters{s.count.Load()} })
	s.Server.WorkRouter().Post("/v1/ratings", s.rate)
	return s
}

func (s *Service) rate(w http.ResponseWriter, r *http.Request) {
	var body wire.RatingBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.count.Add(1)
	took := s.set.ProcessingTime.D()
	name := r.Method + " " + r.URL.Path
	if rule := s.Server.Switches.Select(faults.Late, name); rule != nil {
		took += rule.Delay()
	}
	pause.For(r.Context(), took)
	if s.Server.Switches.Select(faults.LostAnswer, name) != nil {
		panic(http.ErrAbortHandler)
	}
	if s.Server.Switches.Select(faults.Silent, name) != nil {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	quality, _ := engine.ParseQuality(body.Answer)
	const steps = 1 << 20
	u := float64(xxhash.Sum64String(body.RequestID+body.PromptHash)%steps)/steps*2 - 1
	faults.WriteJSON(w, http.StatusOK, wire.RatingAnswer{Rating: min(max(quality+u*s.set.Noise, 0), 1)})
}
