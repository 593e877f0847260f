package load

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A killed router may lose the bills of the last second before the kill. The
// check must tolerate only these: not the bills of other routers or times, and
// no duplicate bill.
func TestRouterKillExplainsLostBills(t *testing.T) {
	const a, b = "http://127.0.0.1:1", "http://127.0.0.1:2"
	rows := []struct {
		name   string
		target string
		endMS  float64
		bills  int
		want   bool
	}{
		{"a response right before the kill", a, 4900, 0, true},
		{"a response long before the kill", a, 3900, 0, false},
		{"a response after the kill", a, 5100, 0, false},
		{"a response of another router", b, 4900, 0, false},
		{"a duplicate bill right before the kill", a, 4900, 2, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			e := &Evidence{
				Run:         &Run{StartMS: 1000, Records: []Record{{Kind: Chat, ID: "x", Target: r.target, Status: 200, TotalMS: r.endMS}}},
				Bills:       BillCount{},
				RouterKills: []RouterKill{{Target: a, AtMS: 6000}},
			}
			if r.bills > 0 {
				e.Bills["x"] = r.bills
			}
			v := e.checkBilledOnce()
			require.Equal(t, r.want, len(v.Violations) == 0, "%v", v.Violations)
		})
	}
}
