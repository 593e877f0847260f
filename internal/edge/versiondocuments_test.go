package edge

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// versionDocuments decodes configurations of which only the version matters.
type versionDocuments struct{}

func (versionDocuments) DecodeConfig(raw json.RawMessage) (*routing.Config, error) {
	var c struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal(raw, &c)
	return routing.New(routing.Config{Version: c.Version}, nil), err
}

func (versionDocuments) DecodeUpstream(id string, _ json.RawMessage, _ time.Time) (fleet.Upstream, error) {
	return fleet.Upstream{ID: id, Service: "engine", Address: "10.0.0.1:80", Zone: "a"}, nil
}

func (versionDocuments) DecodeRollOut(json.RawMessage, json.RawMessage) (canary.RollOut, error) {
	return canary.RollOut{}, errors.New("no roll-outs here")
}
func (versionDocuments) EncodeRollOutStatus(string, canary.Phase) any { return nil }
func (versionDocuments) ConfigName() string                           { return "main" }
func (versionDocuments) ReadinessPath() string                        { return "/ready" }
