package ctxwait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		begin := time.Now()
		assert.True(t, For(ctx, time.Second))
		assert.Equal(t, time.Second, time.Since(begin))
		assert.True(t, For(ctx, 0))
		assert.False(t, For(ctx, time.Minute))
		assert.Equal(t, 2*time.Second, time.Since(begin))
		assert.False(t, For(ctx, 0))
	})
}
