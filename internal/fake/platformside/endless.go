package platformside

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// EndlessFault selects which part of a response never ends.
type EndlessFault string

// The parts of a response that may never end.
const (
	EndlessStatusLine EndlessFault = "status line"
	EndlessHeader     EndlessFault = "header"
	EndlessShortLines EndlessFault = "short lines of a header"
	EndlessInterim    EndlessFault = "interim responses"
	EndlessShortHints EndlessFault = "interim responses of short lines"
	EndlessBody       EndlessFault = "body"
	EndlessChunkSize  EndlessFault = "chunk size"
	EndlessChunks     EndlessFault = "chunks"
	EndlessTrailer    EndlessFault = "trailer"
	EndlessShortTail  EndlessFault = "short lines of a trailer"
	EndlessComments   EndlessFault = "comments of an event stream"
	EndlessEvent      EndlessFault = "event of a stream"
)

// EndlessFaults lists all endless faults.
var EndlessFaults = []EndlessFault{
	EndlessStatusLine, EndlessHeader, EndlessShortLines, EndlessInterim, EndlessShortHints, EndlessBody, EndlessChunkSize,
	EndlessChunks, EndlessTrailer, EndlessShortTail, EndlessComments, EndlessEvent,
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
	writeForever(buf, start, block)
}

// writeForever writes a start and then a block until the connection is closed.
func writeForever(w io.StringWriter, start, block string) {
	_, err := w.WriteString(start)
	for err == nil {
		_, err = w.WriteString(block)
	}
}

// ServeEndless responds with bytes without end to any request.
func ServeEndless(w http.ResponseWriter, fault EndlessFault) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }() // the client has closed it
	start, block := endlessParts(fault, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	writeForever(buf, start, block)
}

// shortLines returns different short header lines.
func shortLines() string {
	var b strings.Builder
	for i := range endlessBlock {
		b.WriteString(strconv.FormatInt(int64(i)+1000, 36) + ":\r\n")
	}
	return b.String()
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
	case EndlessShortLines:
		return head, shortLines()
	case EndlessShortHints:
		return "", "HTTP/1.1 103 Early Hints\r\n" + shortLines()[:16<<10] + "\r\n\r\n"
	case EndlessShortTail:
		return head + chunked + "5\r\nstart\r\n0\r\n", shortLines()
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
