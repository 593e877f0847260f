package vm

const (
	// BodyMemoryShare is the share of the VM's memory for bodies of requests. The rest is
	// for the process, buffers of connections, answers, and what the garbage collector has
	// not freed yet.
	BodyMemoryShare = 0.25
	// LargeBodyShare is the share of the memory for bodies that large ones may use
	// together.
	LargeBodyShare = 0.75
)

// MaxBodyBytes returns the size of the largest body that a VM can hold, in bytes; zero if
// its memory is unknown.
func (l Limits) MaxBodyBytes() int64 {
	return int64(LargeBodyShare * BodyMemoryShare * float64(l.MemoryMB<<20))
}
