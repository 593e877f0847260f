package transfer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTransferEndsByWhatArrives(t *testing.T) {
	limits := Limits{First: 2 * time.Second, Silence: time.Second, Total: 6 * time.Second}
	for name, c := range map[string]struct {
		parts    int
		interval time.Duration
		endsAt   time.Duration // after the start
	}{
		"nothing arrives":                 {0, 0, 2 * time.Second},
		"it stops to arrive":              {4, 900 * time.Millisecond, 4600 * time.Millisecond},
		"a part before the first timeout": {1, 100 * time.Millisecond, 2 * time.Second},
		"it arrives for too long":         {100, 500 * time.Millisecond, 6500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, transfer := Start(context.Background(), limits)
				defer transfer.End(nil)
				go func() {
					for range c.parts {
						time.Sleep(c.interval)
						Arrived(ctx)
					}
				}()
				<-ctx.Done()
				assert.Equal(t, c.endsAt, time.Since(start))
				assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
				assert.False(t, transfer.Arriving())
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestArrivedWithoutATransfer(_ *testing.T) { Arrived(context.Background()) }
