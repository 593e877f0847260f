package router

import (
	"net/http"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/versions"
)

// costUnitTokens is the number of tokens to which a version's cost applies.
const costUnitTokens = 1000

// option is a version that may serve a request, with its cost and quality.
type option struct {
	versions.Choice
	cost    float64
	quality float64
	// sessionToken is the token that pins the session to this version.
	sessionToken string
}

// setHeaders sets the response headers that name the version to the caller.
func (o option) setHeaders(h http.Header) {
	h.Set(headerModel, o.Target())
	if o.sessionToken != "" {
		h.Set(headerSession, o.sessionToken)
	}
	if o.Moved {
		h.Set(headerMovedFrom, o.MovedFrom)
	}
}

// chooseOptions returns the versions that may serve the request, in cascade order.
// name is a model, "model@version" or "auto".
func (s *Server) chooseOptions(info *requestInfo, name string) ([]option, error) {
	if name == autoModel {
		return s.cascadeOptions(info)
	}
	o, err := s.chooseOption(info, name)
	if err != nil {
		return nil, err
	}
	return []option{o}, nil
}

// cascadeOptions chooses a version of each model in the class's cascade. Models
// for which this fails, such as those that the team may not use, are skipped; if
// none is left, it returns the first error. Each choice adds its pin to the
// session token.
func (s *Server) cascadeOptions(info *requestInfo) ([]option, error) {
	if len(info.class.Cascade) == 0 {
		return nil, result.New(result.BadRequest, "class %q has no cascade; the request must name a model", info.class.Name)
	}
	var options []option
	var firstErr error
	for _, model := range info.class.Cascade {
		o, err := s.chooseOption(info, model)
		if err != nil {
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		options = append(options, o)
		info.session = sessionHeader{token: o.sessionToken, name: info.session.name}
	}
	if len(options) == 0 {
		return nil, firstErr
	}
	return options, nil
}

// chooseOption chooses the version by the session, the roll-out and the team.
func (s *Server) chooseOption(info *requestInfo, model string) (option, error) {
	req := versions.ChooseRequest{
		Team:      info.team.Name,
		Model:     model,
		RequestID: info.id,
		Now:       info.arrivedAt,
	}
	req.SessionToken, req.SessionName = info.session.token, info.session.name
	choice, token, err := s.versions.Choose(info.index, s.control.Shares(), req)
	if err != nil {
		return option{}, err
	}
	return s.optionFor(info.index, choice, token)
}

func (s *Server) optionFor(idx *document.Index, c versions.Choice, token string) (option, error) {
	v, ok := idx.Version(c.Model, c.Version)
	if !ok {
		return option{}, result.New(result.NoVersion, "version %s is no longer in the document", c.Target())
	}
	return option{
		Choice:       c,
		cost:         v.Cost,
		quality:      v.Quality,
		sessionToken: token,
	}, nil
}
