// Package admission holds the teams' limits over the whole fleet without a
// store call a request: every VM spends a share of each limit, and shares
// follow demand.
//
// One VM, found by rendezvous hashing over the view, allots the shares; each
// VM reports its demand to it once a period. Core is the pure state of a VM's
// own spending, Allocator the pure state of the allotment; Controller runs
// both.
package admission

import "time"

// Request asks to let one request in.
type Request struct {
	Team string
	// Priority is the class's priority, 0 most urgent.
	Priority int
}

// Report is one VM's demand, sent each period to the allocator.
type Report struct {
	VM string `cbor:"1,keyasint"`
	// Known is the number of entry VMs that the sender knows of, dead ones
	// not yet forgotten included.
	KnownVMs int `cbor:"2,keyasint"`
	// Teams lists the teams with demand.
	Teams []Demand `cbor:"3,keyasint"`
	// IdleFor is how long the sender still holds all other teams at the idle
	// share, by the grants that it has; zero if it holds them at the floor.
	IdleShareRemaining time.Duration `cbor:"4,keyasint"`
	// AtHome is how long the sender has reported to this allocator only.
	SameAllocatorFor time.Duration `cbor:"5,keyasint"`
}

// Demand is what one VM wants and holds of one team's limits.
type Demand struct {
	Team string `cbor:"1,keyasint"`
	// Rate is the demand seen, in requests a second.
	Rate float64 `cbor:"2,keyasint"`
	// Running is the number of requests in progress, Peak the most wanted at
	// one time since the last report.
	InFlight       int `cbor:"3,keyasint"`
	PeakConcurrent int `cbor:"4,keyasint"`
	// HeldRate and HeldRunning are the shares that the VM spends by now.
	ShareRate       float64 `cbor:"5,keyasint"`
	ShareConcurrent int     `cbor:"6,keyasint"`
	// HeldFor is how long the share lasts; zero without one.
	ShareRemaining time.Duration `cbor:"7,keyasint"`
}

// Grant is the allocator's answer to a report.
type Grant struct {
	// TTL is how long the shares last, from the time the report was sent.
	// Teams that it does not name are held at the idle share.
	TTL   time.Duration `cbor:"1,keyasint"`
	Teams []Share       `cbor:"2,keyasint"`
}

// Share is one VM's part of one team's limits.
type Share struct {
	Team string `cbor:"1,keyasint"`
	// Rate is in requests a second.
	Rate float64 `cbor:"2,keyasint"`
	// Running is the number of concurrent requests.
	Concurrent int `cbor:"3,keyasint"`
}

// Limits are a team's limits over the fleet.
type Limits struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the bucket's depth, in requests.
	Burst int
	// Running is the most concurrent requests.
	Concurrent int
}
