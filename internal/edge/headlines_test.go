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
		err   error
	}{
		"an ordinary response":          {final + lines(40) + "\r\n" + strings.Repeat("\n", 5000), nil},
		"many lines":                    {final + lines(maxResponseHeadLines), errTooManyHeadLines},
		"many lines in interim ones":    {strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+lines(60)+"\r\n", 10), errTooManyHeadLines},
		"lines of the body":             {final + "\r\n" + lines(5000), nil},
		"an interim one, then many":     {"HTTP/1.1 100 Continue\r\n\r\n" + final + lines(maxResponseHeadLines), errTooManyHeadLines},
		"an interim one, then a body":   {"HTTP/1.1 100 Continue\r\n\r\n" + final + "\r\n" + lines(5000), nil},
		"a folded line":                 {final + "a: b\r\n c: d\r\n\r\n", errFoldedLine},
		"a folded interim line":         {"HTTP/1.1 103 Early Hints\r\na: b\r\n\tc: d\r\n\r\n" + final, errFoldedLine},
		"blanks in the body":            {final + "a: b \t \r\n\r\n \r\n\t", nil},
		"lines without carriage return": {"HTTP/1.1 200 OK\n" + strings.Repeat("a:\n", maxResponseHeadLines), errTooManyHeadLines},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, 4096} {
				var h headLines
				var err error
				for rest := c.bytes; rest != "" && err == nil; {
					n := min(size, len(rest))
					err = h.add([]byte(rest[:n]))
					rest = rest[n:]
				}
				assert.Equal(t, c.err, err, "in parts of %d bytes", size)
			}
		})
	}
}
