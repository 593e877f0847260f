package claims

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Geometry of the journals. Every VM of a fleet must use the same values, since
// they say which object judges a key.
const (
	// Bucket is the span of issue times whose claims share a journal.
	BucketDuration = 2 * time.Second
	// Slots is the number of journals of one bucket.
	SlotsPerBucket = 2
)

// Bounds of keys.
const (
	maxKeyBytes  = 256
	maxTeamBytes = 128
	maxVMBytes   = 64
	ticketPrefix = "rt1."
	ticketMAC    = 16
)

// Digest identifies a unit of work: a hash of the team, the key and, where the
// key does not contain it, the issue time.
type Digest [16]byte

// String returns the digest in hex; bills of claimed work carry it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Resolve fills in the issue time that a UUID of version 7 contains; that time
// wins over one given beside the key, so that a resend always meets the same
// journal. Errors carry KeyMalformed or KeyRequired.
func (k Key) Resolve() (Key, error) {
	if k.Key == "" {
		return k, result.New(result.KeyRequired, "the call needs an idempotency key or a run ticket")
	}
	if len(k.Key) > maxKeyBytes || len(k.Team) > maxTeamBytes {
		return k, result.New(result.KeyMalformed, "the key is longer than %d bytes", maxKeyBytes)
	}
	if IsTicket(k.Key) {
		return k, nil
	}
	if id, err := uuid.Parse(k.Key); err == nil && id.Version() == 7 {
		ms := int64(binary.BigEndian.Uint64(append([]byte{0, 0}, id[:6]...)))
		k.Key = id.String()
		k.IssuedAt = time.UnixMilli(ms)
		return k, nil
	}
	if k.IssuedAt.IsZero() || k.IssuedAt.UnixMilli() <= 0 {
		return k, result.New(result.KeyMalformed, "the key is no UUID of version 7 and has no issue time beside it")
	}
	return k, nil
}

// Digest returns the identity of a resolved key.
func (k Key) Digest() Digest {
	h := sha256.New()
	issued := k.IssuedAt.UnixMilli()
	if IsTicket(k.Key) {
		issued = 0
	}
	fmt.Fprintf(h, "%d:%s%d:%s%d", len(k.Team), k.Team, len(k.Key), k.Key, issued)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// IsTicket reports whether key has the form of a run ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// ticket is the content of a run ticket. Only the process that issued it
// judges claims under it.
type ticket struct {
	VM          string
	Incarnation uint64
	Number      uint64
	Issued      time.Time
}

func (t ticket) signed(team string, secret []byte) string {
	vm := base64.RawURLEncoding.EncodeToString([]byte(t.VM))
	plain := fmt.Sprintf("%s%s.%d.%d.%d", ticketPrefix, vm, t.Incarnation, t.Number, t.Issued.UnixMilli())
	return plain + "." + mac(team, plain, secret)
}

func mac(team, plain string, secret []byte) string {
	h := hmac.New(sha256.New, secret)
	fmt.Fprintf(h, "claims-ticket:%d:%s:%s", len(team), team, plain)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:ticketMAC])
}

// parseTicket checks the code of a ticket that belongs to team. Errors carry
// KeyMalformed.
func parseTicket(team, key string, secret []byte) (ticket, error) {
	bad := result.New(result.KeyMalformed, "the run ticket is not one of this fleet and team")
	parts := strings.Split(strings.TrimPrefix(key, ticketPrefix), ".")
	if len(parts) != 5 {
		return ticket{}, bad
	}
	plain := ticketPrefix + strings.Join(parts[:4], ".")
	if !hmac.Equal([]byte(mac(team, plain, secret)), []byte(parts[4])) {
		return ticket{}, bad
	}
	vm, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return ticket{}, bad
	}
	var n [3]uint64
	for i, s := range parts[1:4] {
		if n[i], err = strconv.ParseUint(s, 10, 64); err != nil {
			return ticket{}, bad
		}
	}
	issued := time.UnixMilli(int64(n[2]))
	return ticket{VM: string(vm), Incarnation: n[0], Number: n[1], Issued: issued}, nil
}
