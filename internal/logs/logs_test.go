package logs

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against log calls that block when standard output is a full pipe whose
// reader has stopped. Lines must be dropped instead.
func TestFullPipeNeverBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	out := NewWriter(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	start := time.Now()
	const lines = 20000 // far more than a pipe and the queue hold
	for range lines {
		n, err := out.Write(line)
		assert.Equal(t, len(line), n)
		assert.NoError(t, err)
	}
	assert.Less(t, time.Since(start), 2*time.Second)
	assert.Positive(t, out.Dropped())
	start = time.Now()
	out.Close()
	assert.Less(t, time.Since(start), time.Second, "Close must not wait for a reader that has stopped")
	require.NoError(t, r.Close())
	require.NoError(t, w.Close())
}

type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestLinesArriveInOrder(t *testing.T) {
	var b lockedBuffer
	out := NewWriter(&b)
	want := ""
	for i := range 200 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, _ = out.Write([]byte(line))
	}
	out.Close()
	assert.Equal(t, want, b.b.String())
}

func TestErrorsAreOneLine(t *testing.T) {
	assert.Empty(t, Err(nil))
	assert.Equal(t, "broken", Err(trace.Wrap(errors.New("broken"))))
}
