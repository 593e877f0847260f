package router

import (
	"net/http"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/versions"
)

// costUnitTokens is the number of tokens that a version's cost is for.
const costUnitTokens = 1000

// option is one version that may serve a request, with its price.
type option struct {
	versions.Choice
	cost    float64
	quality float64
	// session is the token that keeps the session on this version.
	session string
}

// describe writes what the caller is told about the version.
func (o option) setHeaders(h http.Header) {
	h.Set(headerModel, o.Target())
	if o.session != "" {
		h.Set(headerSession, o.session)
	}
	if o.Moved {
		h.Set(headerMovedFrom, o.MovedFrom)
	}
}

// chooseOptions returns the versions that may serve the request, in cascade
// order. The name is a model, "model@version", or "auto".
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

// cascadeOptions chooses a version of each model of the class's cascade that
// the team may use. The first error counts only if no model is left. Each
// choice adds its pin to the session's token.
func (s *Server) cascadeOptions(info *requestInfo) ([]option, error) {
	if len(info.class.Cascade) == 0 {
		return nil, result.New(result.BadRequest, "class %q has no cascade; name a model", info.class.Name)
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
		info.session = session{token: o.session, name: info.session.name}
	}
	if len(options) == 0 {
		return nil, firstErr
	}
	return options, nil
}

// chooseOption lets the session, the roll-out and the team decide the version.
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
		return option{}, result.New(result.NoVersion, "version %s is no longer known", c.Target())
	}
	return option{
		Choice:  c,
		cost:    v.Cost,
		quality: v.Quality,
		session: token,
	}, nil
}
