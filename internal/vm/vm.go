// Package vm describes the entry VM that a process runs on: its listen
// addresses, its resource limits, and the guarantees that the operators check.
package vm

import "time"

// Settings are the settings that the platform provides to a process at startup.
type Settings struct {
	// Name is the VM's name, unique among all entry VMs.
	Name   string
	Zone   string
	Region string
	// RegionByZone maps each availability zone to its region.
	RegionByZone map[string]string
	// CallerAddress, ReadinessAddress and PeerAddress are the listen addresses for
	// callers, for the platform's readiness checks and for the other entry VMs,
	// IP:PORT.
	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	// SeedAddresses are the peer addresses of a few VMs. They may be stale.
	SeedAddresses []string
	Limits        Limits
	Bounds        Bounds
	Store         Store
	// Contention is true if callers of this deployment at times compete for insufficient
	// capacity.
	Contention bool
}

// Limits are the resource limits of the VM.
type Limits struct {
	// CPUs is the CPU quota in cores, for example 0.4.
	CPUs         float64
	MemoryMB     int
	MaxOpenFiles int
}

// Store locates the platform's object store.
type Store struct {
	Address string
	// History is how long the store keeps its history of changes, at most; zero if
	// unknown.
	History time.Duration
	// MaxValueBytes is the maximum size of one object; zero if unknown.
	MaxValueBytes int64
}

// Bounds are the limits of the guarantees that the operators check.
type Bounds struct {
	// StabilityWindow is how long a dependency must have worked without
	// interruption to count as stable.
	StabilityWindow time.Duration
	// MaxConfigApplyTime is the maximum time from the acceptance of a
	// configuration until it is in force.
	MaxConfigApplyTime time.Duration
	// DrainPeriod is how long a draining upstream continues to serve requests.
	DrainPeriod time.Duration
	// GracePeriod is the time between the request to stop and the forced
	// termination of the process.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack limit the retries of all VMs together within
	// RetryWindow: to RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ExposureShare and ExposureSlack limit the requests that a bad version may
	// receive: to ExposureShare of the service's requests, plus ExposureSlack
	// requests.
	ExposureShare float64
	ExposureSlack float64
	// ColdFactor and ColdSlack limit the requests per second to a cold upstream:
	// to ColdFactor times the rate that it tolerates, plus ColdSlack requests.
	ColdFactor float64
	ColdSlack  float64
	// SessionTTL is the maximum time between two requests of one session.
	SessionTTL time.Duration
}
