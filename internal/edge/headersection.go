package edge

import "bytes"

// Costs of a header section in memory, from the parser's copy to the header of an
// attempt. TestHeaderCostCoversMemory compares them with what is allocated.
const (
	// headerLineCost is for the entries of a line in two maps, the parser's and that of
	// the attempt, in bytes: 170 are kept and 225 allocated for names of three letters.
	headerLineCost = 200
	// headerByteCost is for the buffer of a line, which doubles, and its parsed copy.
	headerByteCost = 4
	// targetByteCost is for the request line, which is also parsed as a URL, decoded, and
	// written for the attempt.
	targetByteCost = 12
	// headerListCost is for an element of a comma-separated list, which may be a part
	// of a prompt with its keys, in bytes.
	headerListCost = 64
	// shortestLineBytes is the size of the shortest legal line: a name of one letter, a
	// colon and a line feed.
	shortestLineBytes = 3
)

// headerSection measures a header section as its bytes arrive. It finds the end of the
// section where net/http does: at the first empty line after the request line.
type headerSection struct {
	// target and fields are the bytes of the request line and of the lines after it, up
	// to the empty line.
	target, fields int
	// lines and commas are the numbers of line feeds and commas.
	lines, commas int
	// begun is true once the request line has ended, and ended once the section has.
	begun, ended bool
	// line is what the current line has so far.
	line lineSoFar
}

// lineSoFar tells an empty line, which may end in CR LF, from others.
type lineSoFar int

const (
	lineEmpty lineSoFar = iota
	lineCR
	lineFilled
)

// add reads the next bytes. It returns how many of them belong to the section.
func (s *headerSection) add(p []byte) int {
	n := 0
	for n < len(p) && !s.ended {
		rest := p[n:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.count(len(rest))
			s.line = s.line.with(rest)
			n = len(p)
			break
		}
		n += end + 1
		empty, begunWith := s.line.with(rest[:end]) != lineFilled, s.line
		s.line = lineEmpty
		s.lines++
		switch {
		case !empty || !s.begun:
			s.count(end + 1)
		case begunWith == lineCR: // the limits leave out the empty line at the end
			s.count(-1)
		}
		s.ended = empty && s.begun // net/http skips a few empty lines before a request
		s.begun = s.begun || !empty
	}
	s.commas += bytes.Count(p[:n], []byte{','})
	return n
}

func (s *headerSection) count(bytes int) {
	if s.begun {
		s.fields += bytes
	} else {
		s.target += bytes
	}
}

// with returns what the line has after more bytes without a line feed.
func (l lineSoFar) with(p []byte) lineSoFar {
	switch {
	case len(p) == 0:
		return l
	case l == lineEmpty && len(p) == 1 && p[0] == '\r':
		return lineCR
	}
	return lineFilled
}

// cost returns the memory that the section takes until its request ends, in bytes.
func (s *headerSection) cost() int64 {
	return int64(s.target)*targetByteCost + int64(s.fields)*headerByteCost + int64(s.lines)*headerLineCost + int64(s.commas)*headerListCost
}

// readAhead counts the bytes that were read after the end of a section: the body, or
// requests that the client has sent without waiting for the response.
type readAhead struct {
	bytes int64
	// lines and commas are those of the latest read. The buffer of net/http holds no
	// others once the body has been read.
	lines, commas int
	line          lineSoFar
}

// add counts bytes. A single byte is what net/http reads ahead to notice that the client
// disconnects; it comes on top of the bytes in the buffer.
func (a *readAhead) add(p []byte, single bool) {
	a.bytes += int64(len(p))
	if !single {
		a.lines, a.commas = 0, 0
	}
	a.lines += bytes.Count(p, []byte{'\n'})
	a.commas += bytes.Count(p, []byte{','})
	if i := bytes.LastIndexByte(p, '\n'); i >= 0 {
		a.line, p = lineEmpty, p[i+1:]
	}
	a.line = a.line.with(p)
}

// next returns the state in which the next section begins, after a body of a known
// length, or an unknown one if it is negative. A body may have been read past the buffer of
// net/http in one large piece, of which nothing belongs to the next section.
func (a *readAhead) next(bodyBytes int64) headerSection {
	if bodyBytes >= 0 && a.bytes <= bodyBytes {
		return headerSection{}
	}
	return headerSection{begun: true, lines: min(a.lines, readBufferBytes), commas: min(a.commas, readBufferBytes), line: a.line}
}
