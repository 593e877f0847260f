package platform_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/fake/objectstore"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

func startService(t *testing.T, set objectstore.Settings) (*objectstore.Service, *platform.Client) {
	s := objectstore.New("platform", set)
	require.NoError(t, s.Server.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = s.Server.Close() })
	c := platform.NewClient(platform.Config{Address: s.Server.Address(), VM: "vm-1", Zone: "z1"}, nil)
	t.Cleanup(c.Close)
	return s, c
}

func TestClientFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  faults.Faults
		write   result.Code
		read    result.Code
		written bool
	}{
		{"down", faults.Faults{Down: true}, result.PlatformWriteUnknown, result.PlatformUnavailable, false},
		{"cut off by zone", faults.Faults{CutFrom: []string{"z1"}}, result.PlatformWriteUnknown, result.PlatformUnavailable, false},
		{"responses to writes of the kind are lost", faults.Faults{LostAnswer: &faults.Rule{Match: "/bill/"}}, result.PlatformWriteUnknown, 0, true},
		{"responses for another kind are lost", faults.Faults{LostAnswer: &faults.Rule{Match: "/journal/"}}, 0, 0, true},
		{"slow but within the timeout", faults.Faults{SlowMS: 1}, 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := startService(t, objectstore.Settings{})
			s.Server.Switches.Set(c.faults)
			_, err := client.Create(t.Context(), platform.KindBill, "b", []byte("v"))
			requireCode(t, c.write, err)
			_, err = client.List(t.Context(), platform.KindBill, "")
			requireCode(t, c.read, err)
			s.Server.Switches.Set(faults.Faults{})
			list, err := client.List(t.Context(), platform.KindBill, "")
			require.NoError(t, err)
			require.Equal(t, c.written, len(list) == 1)
		})
	}
}

// requireCode requires that err has the code; zero requires no error.
func requireCode(t *testing.T, want result.Code, err error) {
	t.Helper()
	if want == 0 {
		require.NoError(t, err)
		return
	}
	require.Equal(t, want, result.From(err).Code, "%v", err)
}

func TestClientRefusedDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c := platform.NewClient(platform.Config{Address: l.Addr().String()}, nil)
	_, err = c.Create(t.Context(), platform.KindBill, "b", nil)
	requireCode(t, result.PlatformUnavailable, err)
}

func TestClientTimeoutOfAWriteIsUnsure(t *testing.T) {
	s, _ := startService(t, objectstore.Settings{})
	s.Server.Switches.Set(faults.Faults{CutFrom: []string{"z1"}, CutSilent: true})
	c := platform.NewClient(platform.Config{Address: s.Server.Address(), Timeout: 50 * time.Millisecond, Zone: "z1"}, nil)
	_, err := c.Update(t.Context(), platform.KindBill, "b", 1, nil)
	requireCode(t, result.PlatformWriteUnknown, err)
}

func TestClientRatesAndCounts(t *testing.T) {
	reg := prometheus.NewRegistry()
	s, _ := startService(t, objectstore.Settings{WritesPerSecond: 0.001})
	c := platform.NewClient(platform.Config{Address: s.Server.Address()}, reg)
	defer c.Close()
	_, err := c.Create(t.Context(), platform.KindBill, "a", nil)
	require.NoError(t, err)
	_, err = c.Create(t.Context(), platform.KindBill, "b", nil)
	requireCode(t, result.PlatformBusy, err)
	require.Equal(t, time.Second, result.From(err).RetryAfter)
	n, err := testutil.GatherAndCount(reg, "pier_platform_calls_total")
	require.NoError(t, err)
	require.Equal(t, 2, n, "one series for each result")
}

func TestStaleVMList(t *testing.T) {
	s, c := startService(t, objectstore.Settings{VMs: []objectstore.VM{{Name: "vm-1"}}})
	s.Server.Switches.Set(faults.Faults{StaleMS: 3_600_000})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.Server.Address()+"/vms", http.NoBody)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	s.SetVMs([]platform.VM{{Name: "vm-2"}})
	vms, err := c.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, "vm-1", vms[0].Name)
	s.Server.Switches.Set(faults.Faults{})
	vms, err = c.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, "vm-2", vms[0].Name)
}
