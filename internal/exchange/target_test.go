package exchange

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against paths that reach an upstream as another path or host.
func TestTargetIsSentUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "/a/b", "/a%2Fb/%61?x=%20&y", "/a?", "//", "//other.example/look/x", "//other.example/look/%2F?q=1", "///a//b", "//a:b@c/d", "//%zz/x", `//a"b/<c>`,
	} {
		t.Run(target, func(t *testing.T) {
			req := &http.Request{Method: http.MethodGet, Host: "one.example", URL: TargetURL("127.0.0.1:80", target), Header: http.Header{}}
			var wire bytes.Buffer
			require.NoError(t, req.Write(&wire))
			line, err := bufio.NewReader(&wire).ReadString('\n')
			require.NoError(t, err)
			assert.Contains(t, []string{"GET " + target + " HTTP/1.1\r\n", "GET http://127.0.0.1:80" + target + " HTTP/1.1\r\n"}, line)
			if target != "//%zz/x" && target != `//a"b/<c>` {
				assert.Equal(t, "GET "+target+" HTTP/1.1\r\n", line)
			}
		})
	}
}
