package result

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// row is one line of the table in docs/RESULT-CODES.md.
type row struct {
	name, status, run, retry, meaning, action string
}

func tableRows(t *testing.T) map[string]row {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "RESULT-CODES.md"))
	require.NoError(t, err)
	rows := make(map[string]row)
	for line := range strings.Lines(string(b)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 9 {
			continue
		}
		if _, err := strconv.Atoi(strings.TrimSpace(cells[1])); err != nil {
			continue // a heading
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		code := cells[1]
		require.NotContains(t, rows, code, "a code stands twice")
		rows[code] = row{cells[2], cells[3], cells[4], cells[5], cells[6], cells[7]}
	}
	return rows
}

func retryText(d time.Duration) string {
	if d == 0 {
		return "no"
	}
	return "after " + d.String()
}

func TestEveryCodeIsDocumented(t *testing.T) {
	rows := tableRows(t)
	for _, c := range Codes() {
		got, ok := rows[fmt.Sprint(int(c))]
		if !assert.True(t, ok, "code %d %s is missing in docs/RESULT-CODES.md", c, c.Info().Name) {
			continue
		}
		i := c.Info()
		assert.Equal(t, i.Name, got.name, "code %d", c)
		assert.Equal(t, fmt.Sprint(i.HTTPStatus), got.status, "code %d", c)
		assert.Equal(t, string(i.Run), got.run, "code %d", c)
		assert.Equal(t, retryText(i.RetryAfter), got.retry, "code %d", c)
		assert.NotEmpty(t, got.meaning, "code %d", c)
		assert.NotEmpty(t, got.action, "code %d", c)
		delete(rows, fmt.Sprint(int(c)))
	}
	assert.Empty(t, rows, "rows without a code")
}

func TestCodesAreConsistent(t *testing.T) {
	names := make(map[string]Code)
	for _, c := range Codes() {
		i := c.Info()
		assert.NotContains(t, names, i.Name)
		names[i.Name] = c
		assert.NotEmpty(t, http.StatusText(i.HTTPStatus)+map[int]string{499: "the caller closed"}[i.HTTPStatus], i.Name)
		assert.Contains(t, []RunState{NotRun, Ran, Unknown}, i.Run, i.Name)
	}
	assert.Equal(t, Info{Name: "unnamed", HTTPStatus: http.StatusInternalServerError, Run: Unknown}, Code(1).Info())
}

func TestErrorsKeepTheirCodeThroughWrapping(t *testing.T) {
	base := New(TeamOverLimit, "team %s", "a")
	cases := []struct {
		name string
		err  error
		code Code
		run  RunState
	}{
		{"as it is", base, TeamOverLimit, NotRun},
		{"traced twice", trace.Wrap(trace.Wrap(base)), TeamOverLimit, NotRun},
		{"wrapped by fmt and traced", trace.Wrap(fmt.Errorf("why: %w", base)), TeamOverLimit, NotRun},
		{"joined", errors.Join(errors.New("x"), base), TeamOverLimit, NotRun},
		{"with another run state", trace.Wrap(base.WithRun(Unknown)), TeamOverLimit, Unknown},
		{"any other error is internal and unknown", errors.New("x"), Internal, Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.code, From(c.err).Code)
			assert.Equal(t, c.run, From(c.err).Run)
			assert.True(t, Is(c.err, c.code))
		})
	}
	assert.False(t, Is(nil, Internal))
	assert.Equal(t, NotRun, base.Run, "WithRun copies")
	assert.Equal(t, time.Second, base.RetryAfter)
	assert.Equal(t, 3*time.Second, base.WithRetryAfter(3*time.Second).RetryAfter)
	assert.Equal(t, "1101 team_over_limit: team a", base.Error())
}
