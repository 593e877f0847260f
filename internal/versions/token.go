package versions

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/fxamacker/cbor/v2"
)

const (
	// TokenPrefix distinguishes session tokens from names that callers choose.
	TokenPrefix = "cps1."
	// maxTokenBytes bounds a token's length.
	maxTokenBytes = 2048
	// maxTokenPins bounds the pins, one for each model, of one session.
	maxTokenPins = 16
	// macBytes is the length of the truncated HMAC-SHA256.
	macBytes = 16
)

// session is a token's content: a session of one team and the version of each
// model that it has used. The token holds the session's whole state.
type session struct {
	ID   string     `cbor:"1,keyasint"`
	Team string     `cbor:"2,keyasint"`
	Pins []tokenPin `cbor:"3,keyasint"`
}

type tokenPin struct {
	Model   string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

func (s *session) pin(model string) string {
	for _, p := range s.Pins {
		if p.Model == model {
			return p.Version
		}
	}
	return ""
}

// setPin sets the model's pin. If there are maxTokenPins pins of other models, the
// oldest one is dropped.
func (s *session) setPin(model, version string) {
	for i := range s.Pins {
		if s.Pins[i].Model == model {
			s.Pins[i].Version = version
			return
		}
	}
	if len(s.Pins) == maxTokenPins {
		s.Pins = append(s.Pins[:0], s.Pins[1:]...)
	}
	s.Pins = append(s.Pins, tokenPin{Model: model, Version: version})
}

// signer signs and verifies tokens. The first key signs; all keys are accepted,
// so that keys can be rotated without invalidating tokens.
type signer struct{ keys [][]byte }

func mac(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(TokenPrefix))
	_, _ = h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

func (g signer) sign(s *session) (string, error) {
	payload, err := cbor.Marshal(s)
	if err != nil {
		return "", result.New(result.Internal, "encode session token: %v", err)
	}
	enc := base64.RawURLEncoding
	return TokenPrefix + enc.EncodeToString(payload) + "." + enc.EncodeToString(mac(g.keys[0], payload)), nil
}

func (g signer) verify(token, team string) (*session, error) {
	errInvalid := result.New(result.SessionInvalid, "the session token is not valid")
	if len(token) > maxTokenBytes || !strings.HasPrefix(token, TokenPrefix) {
		return nil, errInvalid
	}
	body, sum, ok := strings.Cut(token[len(TokenPrefix):], ".")
	if !ok {
		return nil, errInvalid
	}
	payload, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return nil, errInvalid
	}
	got, err := base64.RawURLEncoding.DecodeString(sum)
	if err != nil || !g.validMAC(payload, got) {
		return nil, errInvalid
	}
	var s session
	if err := cbor.Unmarshal(payload, &s); err != nil || s.Team != team {
		return nil, errInvalid
	}
	return &s, nil
}

func (g signer) validMAC(payload, got []byte) bool {
	ok := false
	for _, k := range g.keys {
		if hmac.Equal(mac(k, payload), got) {
			ok = true
		}
	}
	return ok
}
