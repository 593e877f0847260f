package edge_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Guards against upstreams that are out of use for good, because a caller named a model
// that they do not have.
func TestUnknownModelTakesNoUpstreamFromUse(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("e", platformside.ReplicaFaults{UnknownModel: "unknown"})
	c := chat("r1")
	c.header["X-Model"] = "unknown"
	assert.NotEqual(t, 200, s.do(c).status)
	assert.Empty(t, s.runs("r1"))
	for i := range 6 {
		assert.Equal(t, 200, s.do(chat(fmt.Sprint("x", i))).status)
	}
}
