// Package admission enforces the teams' limits over the whole fleet without a
// store call for each request: every VM may use a share of each limit, and the
// shares follow demand.
//
// One VM, chosen by rendezvous hashing over the membership view, allocates the
// shares. Each VM reports its demand to it periodically. Core is the state of one
// VM's usage and Allocator the state of the allocation; both do no I/O and read
// no clock. Controller runs them.
package admission

import "time"

// Request describes a request to be admitted.
type Request struct {
	Team string
	// Priority is the class's priority; 0 is the most urgent.
	Priority int
}

// Report is one VM's demand, sent to the allocator periodically.
type DemandReport struct {
	VM string `cbor:"1,keyasint"`
	// KnownVMs is the number of entry VMs known to the sender. It includes dead VMs
	// that have not been removed yet.
	KnownVMs int `cbor:"2,keyasint"`
	// Teams lists the teams with demand.
	Teams []Demand `cbor:"3,keyasint"`
	// IdleShareRemaining is how long the sender will still limit all other teams
	// to the idle share, by its grants; zero if it limits them to the floor.
	IdleShareRemaining time.Duration `cbor:"4,keyasint"`
	// SameAllocatorFor is how long the sender has reported only to this allocator.
	SameAllocatorFor time.Duration `cbor:"5,keyasint"`
}

// Demand is one VM's demand for one team's limits and its current share of them.
type Demand struct {
	Team string `cbor:"1,keyasint"`
	// Rate is the measured demand, in requests a second.
	Rate float64 `cbor:"2,keyasint"`
	// InFlight is the number of requests in flight. PeakConcurrent is the maximum
	// number of concurrent requests since the last report, counting a request that
	// asked for admission.
	InFlight       int `cbor:"3,keyasint"`
	PeakConcurrent int `cbor:"4,keyasint"`
	// ShareRate and ShareConcurrent are the shares that the VM enforces now.
	ShareRate       float64 `cbor:"5,keyasint"`
	ShareConcurrent int     `cbor:"6,keyasint"`
	// ShareRemaining is the time until the share expires; zero without a share.
	ShareRemaining time.Duration `cbor:"7,keyasint"`
}

// Grant is the allocator's answer to a report.
type Grant struct {
	// TTL is how long the shares are valid, from the time the report was sent.
	// Teams that are not in the grant are limited to the idle share.
	TTL   time.Duration `cbor:"1,keyasint"`
	Teams []Share       `cbor:"2,keyasint"`
}

// Share is one VM's part of one team's limits.
type Share struct {
	Team string `cbor:"1,keyasint"`
	// Rate is in requests a second.
	Rate float64 `cbor:"2,keyasint"`
	// Concurrent is the maximum number of concurrent requests.
	Concurrent int `cbor:"3,keyasint"`
}

// Limits are a team's limits over the whole fleet.
type Limits struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the bucket's depth, in requests.
	Burst int
	// Concurrent is the maximum number of concurrent requests.
	Concurrent int
}
