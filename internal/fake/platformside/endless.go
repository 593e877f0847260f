package platformside

import (
	"fmt"
	"net/http"
	"strings"
)

// EndlessFault selects which part of a response never ends.
type EndlessFault string

// The parts of a response that may never end.
const (
	EndlessStatusLine EndlessFault = "status line"
	EndlessHeader     EndlessFault = "header"
	EndlessInterim    EndlessFault = "interim responses"
	EndlessBody       EndlessFault = "body"
	EndlessChunkSize  EndlessFault = "chunk size"
	EndlessChunks     EndlessFault = "chunks"
	EndlessTrailer    EndlessFault = "trailer"
	EndlessComments   EndlessFault = "comments of an event stream"
	EndlessEvent      EndlessFault = "event of a stream"
)

// EndlessFaults lists all endless faults.
var EndlessFaults = []EndlessFault{
	EndlessStatusLine, EndlessHeader, EndlessInterim, EndlessBody, EndlessChunkSize, EndlessChunks, EndlessTrailer,
	EndlessComments, EndlessEvent,
}

// endlessBlock is the size in bytes of the repeated part of an endless response.
const endlessBlock = 4 << 10

// writeEndless writes an endless response until the client closes the connection.
func (p *Replica) writeEndless(w http.ResponseWriter, run *Run, fault EndlessFault) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }() // the client has closed it
	start, block := endlessParts(fault, p.head(run))
	_, err = buf.WriteString(start)
	for err == nil {
		_, err = buf.WriteString(block)
	}
}

// head returns the head of a valid response to a run, without its last empty line.
func (p *Replica) head(run *Run) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\n",
		p.ID, run.ID, Signature(p.ID, run.ID, http.StatusOK, run.Model))
}

// endlessParts returns what an endless response begins with and what it repeats.
func endlessParts(fault EndlessFault, head string) (start, block string) {
	fill := strings.Repeat("x", endlessBlock)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	const stream = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	switch fault {
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", fill
	case EndlessHeader:
		return head, "X-Fill: " + fill + "\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 103 Early Hints\r\nX-Fill: " + fill + "\r\n\r\n"
	case EndlessChunkSize:
		return head + chunked, strings.Repeat("0", endlessBlock)
	case EndlessChunks:
		return head + chunked, fmt.Sprintf("%x\r\n%s\r\n", len(fill), fill)
	case EndlessTrailer:
		return head + chunked + "5\r\nstart\r\n0\r\n", "X-Fill: " + fill + "\r\n"
	case EndlessComments:
		return head + stream, ": " + fill + "\n\n"
	case EndlessEvent:
		return head + stream + "id: 1\ndata: ", fill
	}
	return head + "Connection: close\r\n\r\n", fill
}
