package exchange

import (
	"net/url"
	"strings"
)

// TargetURL returns the URL of a request to an address, IP:PORT, whose path and query are
// sent as the caller wrote them in requestURI.
func TargetURL(address, requestURI string) *url.URL {
	path, query, hasQuery := strings.Cut(requestURI, "?")
	u := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if !strings.HasPrefix(path, "//") {
		u.Opaque = path // keeps its escaping
		return u
	}
	// net/http takes an Opaque with two slashes for a host and a path.
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path, u.RawPath = decoded, path
		if u.EscapedPath() == path {
			return u
		}
	}
	// A path that cannot be escaped in this way is sent with a host before it.
	u.Path, u.RawPath, u.Opaque = "", "", "//"+address+path
	return u
}
