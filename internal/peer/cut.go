package peer

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// Block lists the peers with which a SimulatedPartition blocks all traffic.
type Block struct {
	VMs   []string `json:"vms,omitempty"`
	Zones []string `json:"zones,omitempty"`
	// Addresses are peer addresses, IP:port. Only outgoing calls to them are
	// blocked.
	Addresses []string `json:"addresses,omitempty"`
}

// SimulatedPartition simulates network partitions in tests. While a peer is
// blocked, calls to it hang until their timeout and calls from it get no
// response, as on a network that drops packets. The zero value blocks nothing.
// Programs create one only when their settings allow faults.
type SimulatedPartition struct {
	mu    sync.RWMutex
	block Block
	// identities maps an address to the peer that last responded from it, so
	// that a block by VM or zone also applies to outgoing calls.
	identities map[string]Identity
}

// Set replaces the current block.
func (p *SimulatedPartition) Set(b Block) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.block = b
}

// Blocked returns the current block.
func (p *SimulatedPartition) Blocked() Block {
	if p == nil {
		return Block{}
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.block
}

// blocksPeer reports whether traffic with the peer id is blocked. A nil
// SimulatedPartition blocks nothing.
func (p *SimulatedPartition) blocksPeer(id Identity) bool {
	if p == nil {
		return false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.blocks(id)
}

// blocksAddress reports whether calls to addr are blocked.
func (p *SimulatedPartition) blocksAddress(addr string) bool {
	if p == nil {
		return false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	if slices.Contains(p.block.Addresses, addr) {
		return true
	}
	id, ok := p.identities[addr]
	return ok && p.blocks(id)
}

// recordIdentity stores the identity of the peer that responds at addr.
func (p *SimulatedPartition) recordIdentity(addr string, id Identity) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.identities == nil {
		p.identities = map[string]Identity{}
	}
	p.identities[addr] = id
}

func (p *SimulatedPartition) blocks(id Identity) bool {
	return slices.Contains(p.block.VMs, id.VM) || slices.Contains(p.block.Zones, id.Zone)
}

// maxBlockBytes bounds the body of a PUT to ServeHTTP, in bytes.
const maxBlockBytes = 64 << 10

// ServeHTTP returns the current block. A PUT first replaces it with the JSON
// body.
func (p *SimulatedPartition) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var b Block
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBlockBytes)).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(b)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Blocked())
}
