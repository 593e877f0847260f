package canary

import "github.com/cespare/xxhash/v2"

// sessionBuckets is the number of buckets that sessions are divided into. With as
// many sessions in the trial's share as a fourth of it, the trial still moves four
// in five of the new sessions.
const sessionBuckets = 4096

// bucketSet is a set of buckets as a bitmap.
type bucketSet [sessionBuckets / 8]byte

// sessionBucket returns the bucket of a session. It is the same on all VMs.
func sessionBucket(session string) uint64 { return xxhash.Sum64String(session) % sessionBuckets }

func (b *bucketSet) add(session string) {
	i := sessionBucket(session)
	b[i/8] |= 1 << (i % 8)
}

func (b *bucketSet) has(session string) bool {
	i := sessionBucket(session)
	return b[i/8]&(1<<(i%8)) != 0
}

// merge adds the buckets of another VM's bitmap.
func (b *bucketSet) merge(other []byte) {
	for i := range min(len(b), len(other)) {
		b[i] |= other[i]
	}
}
