package edge

import (
	"context"
	"net"
	"sync/atomic"
)

// connRequestsKey is the context key of the number of requests on a connection.
type connRequestsKey struct{}

// withConnRequests adds a counter of the connection's requests to its context. It
// is meant for http.Server.ConnContext.
func withConnRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connRequestsKey{}, new(atomic.Int64))
}

// countConnRequest counts a request and returns how many its connection has carried,
// with this one; zero if the connection has no counter.
func countConnRequest(ctx context.Context) int64 {
	if n, ok := ctx.Value(connRequestsKey{}).(*atomic.Int64); ok {
		return n.Add(1)
	}
	return 0
}
