// Package vm describes the entry VM that a process runs on: where it listens,
// what it may use, and the bounds that the operators hold it to.
package vm

import "time"

// Settings are the facts that the platform hands to a process at its start.
type Settings struct {
	// Name identifies the VM among all entry VMs.
	Name   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	RegionByZone map[string]string
	// Callers, Readiness and Peers are listen addresses, IP:PORT. Readiness
	// serves the platform's readiness checks, Peers the other entry VMs.
	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	// Seeds are peer addresses of a few VMs; they may be stale.
	SeedAddresses []string
	Limits        Limits
	Bounds        Bounds
	Store         Store
}

// Limits are the VM's resources.
type Limits struct {
	// CPUs is the share of processor cores, for example 0.4.
	CPUs         float64
	MemoryMB     int
	MaxOpenFiles int
}

// Store says where the platform's object store is.
type Store struct {
	Address string
}

// Bounds are the promises that the operators check.
type Bounds struct {
	// Stability is how long a dependency must have been undisturbed to count
	// as stable.
	StabilityWindow time.Duration
	// ConfigApply is the time within which an accepted configuration is in force.
	ConfigApplyTimeout time.Duration
	// DrainTimeout is how long a leaving upstream goes on serving.
	DrainTimeout time.Duration
	// Grace is the time between the request to stop and the forced end.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack bound repeats per RetryWindow over all VMs:
	// ratio times the requests plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ExposureShare and ExposureSlack bound the requests that a bad version
	// may get: a share of the service's requests plus a number of requests.
	ExposureShare float64
	ExposureSlack float64
	// ColdFactor and ColdSlack bound the requests a second to a cold upstream:
	// factor times its tolerated rate plus a number of requests.
	ColdFactor float64
	ColdSlack  float64
	// SessionTTL is the longest pause between two requests of one session.
	SessionTTL time.Duration
}
