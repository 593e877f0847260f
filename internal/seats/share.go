package seats

import "github.com/cespare/xxhash/v2"

// ColdShare is the number of concurrent runs that the held seats allow on a
// cold upstream with the given limit. The shares of all seats sum to exactly
// the limit; what does not divide evenly is rotated by the upstream's name, so
// that small limits of many upstreams spread over the VMs.
func ColdShare(limit int, upstream string, held []int) int {
	remainder := limit % PerZone
	offset := int(xxhash.Sum64String(upstream) % PerZone)
	sum := 0
	for _, seat := range held {
		sum += limit / PerZone
		if (seat+offset)%PerZone < remainder {
			sum++
		}
	}
	return sum
}
