package peer

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// Block names the peers with which a Cut stops all traffic.
type Block struct {
	VMs   []string `json:"vms,omitempty"`
	Zones []string `json:"zones,omitempty"`
	// Addresses are peer addresses, IP:port; they block outgoing calls only.
	Addresses []string `json:"addresses,omitempty"`
}

// Cut is a fault switch for proofs: while a peer is blocked, calls to it hang
// until their timeout and calls from it are never answered, as on a network
// that drops packets. The zero value blocks nothing. Programs make one only
// when their settings allow faults.
type Cut struct {
	mu    sync.RWMutex
	block Block
	// known maps an address to the peer that last answered there, so that a
	// block by VM or zone also stops outgoing calls.
	identities map[string]Identity
}

// Set replaces what is blocked.
func (c *Cut) Set(b Block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.block = b
}

// Blocked returns what is blocked.
func (c *Cut) Blocked() Block {
	if c == nil {
		return Block{}
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.block
}

// blocksPeer reports whether traffic with id is stopped. A nil Cut blocks
// nothing.
func (c *Cut) blocksPeer(id Identity) bool {
	if c == nil {
		return false
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.blocks(id)
}

// blocksAddress reports whether calls to addr are stopped.
func (c *Cut) blocksAddress(addr string) bool {
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

// learn remembers who answers at addr.
func (c *Cut) recordIdentity(addr string, id Identity) {
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

func (c *Cut) blocks(id Identity) bool {
	return slices.Contains(c.block.VMs, id.VM) || slices.Contains(c.block.Zones, id.Zone)
}

// maxBlockBytes bounds the body of a PUT to ServeHTTP, in bytes.
const maxBlockBytes = 64 << 10

// ServeHTTP shows the block on GET and replaces it by the JSON body on PUT.
func (c *Cut) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
