package peer

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// Block lists the peers with which a Cut blocks all traffic.
type Block struct {
	VMs   []string `json:"vms,omitempty"`
	Zones []string `json:"zones,omitempty"`
	// Addresses are peer addresses, IP:port. Only outgoing calls to them are
	// blocked.
	Addresses []string `json:"addresses,omitempty"`
}

// Cut simulates network partitions in tests. While a peer is blocked, calls to
// it hang until their timeout and calls from it get no response, as on a network
// that drops packets. The zero value blocks nothing. Programs create a Cut only
// when their settings allow faults.
type SimulatedPartition struct {
	mu    sync.RWMutex
	block Block
	// identities maps an address to the peer that last responded from it, so
	// that a block by VM or zone also applies to outgoing calls.
	identities map[string]Identity
}

// Set replaces the current block.
func (c *SimulatedPartition) Set(b Block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.block = b
}

// Blocked returns the current block.
func (c *SimulatedPartition) Blocked() Block {
	if c == nil {
		return Block{}
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.block
}

// blocksPeer reports whether traffic with the peer id is blocked. A nil Cut
// blocks nothing.
func (c *SimulatedPartition) blocksPeer(id Identity) bool {
	if c == nil {
		return false
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.blocks(id)
}

// blocksAddress reports whether calls to addr are blocked.
func (c *SimulatedPartition) blocksAddress(addr string) bool {
	if c == nil {
		return false
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	if slices.Contains(c.block.Addresses, addr) {
		return true
	}
	id, ok := c.identities[addr]
	return ok && c.blocks(id)
}

// recordIdentity stores the identity of the peer that responds at addr.
func (c *SimulatedPartition) recordIdentity(addr string, id Identity) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.identities == nil {
		c.identities = map[string]Identity{}
	}
	c.identities[addr] = id
}

func (c *SimulatedPartition) blocks(id Identity) bool {
	return slices.Contains(c.block.VMs, id.VM) || slices.Contains(c.block.Zones, id.Zone)
}

// maxBlockBytes bounds the body of a PUT to ServeHTTP, in bytes.
const maxBlockBytes = 64 << 10

// ServeHTTP returns the current block. A PUT first replaces it with the JSON
// body.
func (c *SimulatedPartition) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var b Block
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBlockBytes)).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.Set(b)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c.Blocked())
}
