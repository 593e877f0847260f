package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/platform"
)

// slowStore acknowledges a verdict only after something else has happened.
type slowStore struct {
	catalog.Source
	meanwhile func()
}

func (s slowStore) WriteStatus(context.Context, catalog.Kind, string, uint64, any) error {
	s.meanwhile()
	return nil
}

// Guards against an acknowledged verdict that puts back a roll-out which operators have
// replaced meanwhile.
func TestAcknowledgedVerdictKeepsANewerRollOut(t *testing.T) {
	f := &Follower{
		proxy: &Proxy{canary: canary.New("vm-1", canary.Exposure{Share: 0.15}, time.Second)}, docs: platform.Documents{},
		rollOuts: make(map[string]rollOutObject),
	}
	order := func(target string, revision uint64) {
		f.applyRollOut(catalog.Object{Name: "pool", Revision: revision, Spec: json.RawMessage(`{"service":"pool","target":"` + target + `","durationS":10}`)})
	}
	order("v2", 5)
	f.source = slowStore{meanwhile: func() { order("v3", 9) }}
	f.writeVerdict(context.Background(), canary.Verdict{RollOut: f.rollOuts["pool"].rollOut, Phase: canary.Reverted})
	reports := f.proxy.canary.Reports(time.Now())
	assert.Len(t, reports, 1)
	assert.Equal(t, "v3", reports[0].NewVersion)
	f.source = slowStore{meanwhile: func() {}}
	f.writeVerdict(context.Background(), canary.Verdict{RollOut: f.rollOuts["pool"].rollOut, Phase: canary.Completed})
	assert.Empty(t, f.proxy.canary.Reports(time.Now()), "the phase is known without the watch")
}
