package edge

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against heads of very many short lines, which take many times their size.
func TestHeadsOfManyLinesAreLimited(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\n"
	lines := func(n int) string { return strings.Repeat("a: b\r\n", n) }
	for name, c := range map[string]struct {
		bytes string
		ok    bool
	}{
		"an ordinary response":          {final + lines(40) + "\r\n" + strings.Repeat("\n", 5000), true},
		"many lines":                    {final + lines(maxResponseHeadLines), false},
		"many lines in interim ones":    {strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+lines(60)+"\r\n", 10), false},
		"lines of the body":             {final + "\r\n" + lines(5000), true},
		"an interim one, then many":     {"HTTP/1.1 100 Continue\r\n\r\n" + final + lines(maxResponseHeadLines), false},
		"an interim one, then a body":   {"HTTP/1.1 100 Continue\r\n\r\n" + final + "\r\n" + lines(5000), true},
		"lines without carriage return": {"HTTP/1.1 200 OK\n" + strings.Repeat("a:\n", maxResponseHeadLines), false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, 4096} {
				var h headLines
				ok := true
				for rest := c.bytes; rest != "" && ok; {
					n := min(size, len(rest))
					ok = h.add([]byte(rest[:n]))
					rest = rest[n:]
				}
				assert.Equal(t, c.ok, ok, "in parts of %d bytes", size)
			}
		})
	}
}
