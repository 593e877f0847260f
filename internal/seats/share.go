package seats

import "github.com/cespare/xxhash/v2"

// ColdShare returns how many concurrent runs the held seats allow on a cold
// upstream with the given limit. The shares of all seats sum to exactly the
// limit. The upstream's name determines which seats get the remainder, so that
// the small limits of many upstreams are spread over the VMs.
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
