package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// bill charges a chat request once, for the sum of its steps.
func (s *Server) bill(c *chatCall) {
	last := c.last()
	b := billing.Bill{
		Request: c.id,
		Team:    c.team.Name,
		Class:   c.class.Name,
		Model:   last.option.Model,
		Version: last.option.Version,
		Tokens:  last.tokens,
		Steps:   len(c.steps),
		AtMS:    time.Now().UnixMilli(),
	}
	for _, step := range c.steps {
		b.Cost += step.cost
	}
	s.charge(c.id, b)
}

// billCall charges a call of a plain service once. id identifies the bill. A call
// that the service answers with status 400 or above is free.
func (s *Server) billCall(c *serviceCall, id string, status int) {
	if status >= http.StatusBadRequest {
		return
	}
	s.charge(c.id, billing.Bill{
		Request: id,
		Team:    c.team.Name,
		Class:   c.class.Name,
		Model:   c.service,
		Steps:   1,
		AtMS:    time.Now().UnixMilli(),
	})
}

func (s *Server) charge(request string, b billing.Bill) {
	s.biller.Bill(b)
	s.recorder.Record(request, "billing.billed", timeline.F("bill", b.Request),
		timeline.F("cost", strconv.FormatFloat(b.Cost, 'f', 4, 64)), timeline.F("steps", strconv.Itoa(b.Steps)))
}

// formatUint formats a number for logs and events.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
