package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const service = "pool"

var config = Config{Ratio: 0.9, Slack: 56, Window: 10 * time.Second}

func TestRetriesAreBoundedByRequests(t *testing.T) {
	b := New(config)
	now := time.Now()
	for range 100 {
		b.RecordRequest(now, service)
	}
	n := 0
	for b.TryRetry(now, service) {
		n++
	}
	assert.Equal(t, 82, n) // 0.9 * 0.9 of the requests, plus one VM's share of the slack
	assert.False(t, b.TryRetry(now.Add(8*time.Second), service))
	assert.True(t, b.TryRetry(now.Add(11*time.Second), service), "the window has passed")
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := New(config)
	now := time.Now()
	b.RecordRequest(now, "other")
	for range 50 {
		b.RecordRequest(now, service)
	}
	for b.TryRetry(now, service) {
	}
	assert.True(t, b.TryRetry(now, "other"))
}

// Guards against VMs that together exceed the fleet-wide limit, although they
// exchange no messages. The retries in each window are compared with the highest
// limit of three windows (this one, the previous one and the one halfway between
// them), because a retry may follow its request in the next window.
func TestFleetStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(20) {
		vms := []int{30, 87, 330}[seed%3]
		t.Run(fmt.Sprintf("seed %d, %d VMs", seed, vms), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			const ticks = 600 // 60 s
			budgets := make([]*Budget, vms)
			for i := range budgets {
				budgets[i] = New(config)
				budgets[i].SetVMCount(time.Now(), vms)
			}
			begin := time.Now()
			requests, retries := make([]int, ticks), make([]int, ticks)
			for tick := range ticks {
				now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
				for range rng.IntN(12) * rng.IntN(3) {
					budgets[rng.IntN(vms)].RecordRequest(now, service)
					requests[tick]++
				}
				for range rng.IntN(4 * vms) {
					if budgets[rng.IntN(vms)].TryRetry(now, service) {
						retries[tick]++
					}
				}
			}
			for end := 200; end <= ticks; end++ {
				maxRequests := max(sum(requests[end-100:end]), sum(requests[end-200:end-100]), sum(requests[end-150:end-50]))
				bound := config.Ratio*float64(maxRequests) + config.Slack
				assert.LessOrEqual(t, float64(sum(retries[end-100:end])), bound)
			}
		})
	}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// VMs that have just started know few of the others, and VMs that are cut off hear
// from few of them. Together they must not use more than the slack.
func TestSlackWhileFewVMsAreKnown(t *testing.T) {
	const vms = 295
	large := Config{Ratio: 0.9, Slack: 630, Window: 10 * time.Second, SettleTime: 10 * time.Second}
	now := time.Now()
	for name, prepare := range map[string]func(*Budget) time.Time{
		"started": func(b *Budget) time.Time {
			b.SetVMCount(now, 8)
			return now
		},
		"cut off": func(b *Budget) time.Time {
			b.Remaining(now, service)
			b.SetVMCount(now, vms)
			b.SetVMCount(now.Add(time.Minute), 8)
			return now.Add(time.Minute)
		},
	} {
		retries := 0
		for range vms {
			b := New(large)
			for at := prepare(b); b.TryRetry(at, service); {
				retries++
			}
		}
		assert.LessOrEqual(t, float64(retries), large.Slack, name)
	}
	b := New(large)
	b.Remaining(now, service)
	b.SetVMCount(now, vms)
	b.SetVMCount(now.Add(vmCountMemory+time.Second), 8)
	assert.Greater(t, b.Remaining(now.Add(vmCountMemory+time.Minute), service), large.Slack/vms, "VMs that left are forgotten in the end")
}
