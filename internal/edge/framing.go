package edge

import (
	"errors"
	"net/http"
)

// framing is how a response marks the end of its body.
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	// framedByClose: the end of the connection is the end of the body, also if the
	// upstream ended early.
	framedByClose framing = "close"
)

func framingOf(resp *http.Response) framing {
	switch {
	case resp.ContentLength >= 0:
		return framedByLength
	case len(resp.TransferEncoding) > 0:
		return framedByChunks
	}
	return framedByClose
}

// bodyEnd returns how the body of the response ended, for the metrics.
func (a *attempt) bodyEnd() string {
	switch {
	case errors.Is(a.err, errEndInsideEvent), errors.Is(a.err, errNoEvents):
		return "inside_event"
	case a.disconnected:
		return "broken_off"
	case !a.bodyRead:
		return "canceled"
	}
	return "regular"
}
