package gossip

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/poison"
)

// datagram67373d3 is a datagram as commit 67373d3 encodes it.
const datagram67373d3 = "ac01a50164766d2d310207036a31302e302e302e313a3104616105000281a50164766d2d320208036a31302e302e302e323a3104616205" +
	"185a0381a301627531020203181e0481a601617302627632030004f405f608fb0000000000000000050c0a8183050281840318281832f5" +
	"07a2010002f60881a20162753202040d81a50161730209030a040b050c09060b8161730cf5"

// Guards against VMs of two builds that drop each other's datagrams while the VMs are
// replaced.
func TestDatagramOfAnOlderBuild(t *testing.T) {
	raw, err := hex.DecodeString(datagram67373d3)
	require.NoError(t, err)
	var m Message
	require.NoError(t, cbor.Unmarshal(raw, &m))
	assert.Equal(t, Member{Name: "vm-1", Incarnation: 7, Address: "10.0.0.1:1", Zone: "a"}, m.From)
	assert.Equal(t, []Member{{Name: "vm-2", Incarnation: 8, Address: "10.0.0.2:1", Zone: "b", AgeMS: 90}}, m.Members)
	assert.Equal(t, []fleet.VMLoad{{Upstream: "u1", Inflight: 2, PrefillMs: 30}}, m.Loads)
	assert.Equal(t, []poison.Suspect{{Key: 5, Depth: 2, Marks: []poison.Mark{{Crash: 3, AgeMS: 40, RanMS: 50, Cleared: true}}}}, m.Suspects)
	assert.Equal(t, []fleet.Departure{{Upstream: "u2", Incarnation: 4}}, m.Departures)
	assert.Equal(t, []fleet.BrittleReport{{Service: "s", Limit: 9, HeardMS: 10, FullPercent: 11, EndedMS: 12}}, m.Brittle)
	assert.Equal(t, []string{"s"}, m.Unreachable)
	assert.EqualValues(t, 12, m.ConfigVersion)
	assert.EqualValues(t, 6, m.StoreTroubleMS)
	assert.True(t, m.Stopping)
	assert.Empty(t, m.Limits, "it knows none")
	assert.Empty(t, m.PrefillTimes)
	assert.Empty(t, m.CallTimes)
	assert.Equal(t, raw, encode(m), "the older build reads what this one writes, field by field")
}
