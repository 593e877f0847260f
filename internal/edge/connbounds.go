package edge

import "github.com/cranberrypier/cranberrypier/internal/vm"

const (
	// connMemory is what an open connection takes, in bytes: buffers and stacks for it
	// and for a connection to an upstream, and header sections up to freeHeaderCost.
	connMemory = 64 << 10
	// connMemoryShare is the share of the VM's memory for the connections of callers.
	connMemoryShare = 0.4
	// callerFileShare and peerFileShare are the shares of the VM's descriptors for
	// connections of callers and of other VMs, each of which may need a second one, to
	// an upstream. adminFileShare is for each of the other listeners. A fifth is left
	// for the store, gossip and connections that are about to be closed.
	callerFileShare = 0.3
	peerFileShare   = 0.08
	adminFileShare  = 0.02
	// minAdminConns is the least limit of a listener, enough for the platform's checks.
	minAdminConns = 16
	// freeHeaderCost is the cost of a header section, in bytes, that is part of
	// connMemory. Sections of ordinary requests are below: some 25 lines of 1.5 KB.
	freeHeaderCost = 16 << 10
	// headerCostStep is the step in which the room of a section grows, in bytes.
	headerCostStep = 16 << 10
	// headerShare is the share of the byte budget that header sections may take. The
	// rest is for bodies.
	headerShare = 0.5
	// sectionsAtLeast is the number of the most expensive sections for which there is
	// room at the same time.
	sectionsAtLeast = 4
	// adminHeaderBytes limits header sections for readiness checks and metrics.
	adminHeaderBytes = 16 << 10
)

// connBounds are the limits of the open connections of each listener; zero for none.
type connBounds struct{ callers, peers, admin int }

// boundsOf derives the limits from the VM's memory and descriptors.
func boundsOf(l vm.Limits) connBounds {
	share := func(of float64) int {
		if l.MaxOpenFiles <= 0 {
			return 0
		}
		return max(int(of*float64(l.MaxOpenFiles)), minAdminConns)
	}
	b := connBounds{callers: share(callerFileShare), peers: share(peerFileShare), admin: share(adminFileShare)}
	if l.MemoryMB > 0 {
		byMemory := max(int(connMemoryShare*float64(l.MemoryMB<<20)/connMemory), minAdminConns)
		if b.callers == 0 || byMemory < b.callers {
			b.callers = byMemory
		}
	}
	return b
}

// maxHeaderLines returns the limit of the lines of a section: as many as the limit of its
// bytes allows, which may be read ahead, or more if the budget (zero for none) has room
// for sectionsAtLeast such sections.
func maxHeaderLines(maxBytes int, budget int64) int {
	byBytes := maxBytes/shortestLineBytes + readBufferBytes
	byRoom := int(headerShare * float64(budget) / sectionsAtLeast / headerLineCost)
	return max(byBytes, byRoom)
}

// readBufferBytes is the size of the buffer into which net/http reads.
const readBufferBytes = 4 << 10
