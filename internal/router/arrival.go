package router

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/quarantine"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/versions"
)

// requestInfo holds what is known about a request before its body is read, and the
// hash of its content. index is the document in force when the request arrived;
// each attempt is checked again against the document in force at that time.
type requestInfo struct {
	id                    string
	arrivedAt             time.Time
	index                 *document.Index
	team                  *document.Team
	class                 *document.Class
	deadline              time.Time
	session               sessionHeader
	quarantineFingerprint quarantine.Fingerprint
}

// sessionHeader is the parsed session header of a request.
type sessionHeader struct {
	token string
	name  string
}

// newRequestID returns a unique ID that sorts by creation time (UUIDv7).
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// acceptRequest authenticates a request and counts it in the drain gate. After a
// success the caller must call s.gate.Leave.
func (s *Server) acceptRequest(r *http.Request) (requestInfo, error) {
	info := requestInfo{id: newRequestID(), arrivedAt: time.Now()}
	if err := s.identifyCaller(&info, r); err != nil {
		return info, err
	}
	if err := s.gate.Enter(); err != nil {
		return info, err
	}
	s.recorder.Record(info.id, "request.arrived",
		timeline.F("team", info.team.Name), timeline.F("class", info.class.Name), timeline.F("path", r.URL.Path))
	return info, nil
}

// identifyCaller sets the team, class, deadline and session of a request.
func (s *Server) identifyCaller(info *requestInfo, r *http.Request) error {
	info.index = s.control.Index()
	if info.index == nil {
		return result.New(result.NotReady, "no document is in force yet")
	}
	team, ok := info.index.TeamByKey(bearerKey(r))
	if !ok {
		return result.New(result.Unauthenticated, "the bearer key belongs to no team")
	}
	info.team = team
	class, err := classOf(info.index, team, r)
	if err != nil {
		return err
	}
	info.class = class
	info.deadline, err = deadlineOf(r, info.arrivedAt, class.Deadline.D())
	if err != nil {
		return err
	}
	info.session.token, info.session.name = versions.SplitSession(r.Header.Get(headerSession))
	return nil
}

// quarantineFingerprintOf returns a hash of a request's content. A resent request
// has the same fingerprint.
func quarantineFingerprintOf(team, path string, body []byte) quarantine.Fingerprint {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(team), team, len(path), path)
	h.Write(body)
	var f quarantine.Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
