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

// Partitioning of the keys into journals. Every VM of a fleet must use the same
// values, because they determine which journal decides about a key.
const (
	// BucketDuration is the range of issue times whose claims share the same
	// journals.
	BucketDuration = 2 * time.Second
	// SlotsPerBucket is the number of journals per bucket.
	SlotsPerBucket = 2
)

// Bounds of keys, and the format of run tickets.
const (
	maxKeyBytes    = 256
	maxTeamBytes   = 128
	maxVMBytes     = 64
	ticketPrefix   = "rt1."
	ticketMACBytes = 16
)

// Digest identifies a unit of work. It is a hash of the team, the key and the issue
// time; the key of a run ticket already contains the issue time.
type Digest [16]byte

// String returns the digest in hex. It is also the bill ID of a claimed call.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Resolve sets the issue time of a UUIDv7 key to the time in the UUID. This time
// overrides a time given beside the key, so that every arrival of the key uses the
// same journal. Errors carry IdempotencyKeyMalformed or IdempotencyKeyRequired.
func (k Key) Resolve() (Key, error) {
	if k.Value == "" {
		return k, result.New(result.IdempotencyKeyRequired, "the call needs an idempotency key or a run ticket")
	}
	if len(k.Value) > maxKeyBytes || len(k.Team) > maxTeamBytes {
		return k, result.New(result.IdempotencyKeyMalformed, "the key is longer than %d bytes", maxKeyBytes)
	}
	if IsTicket(k.Value) {
		return k, nil
	}
	if id, err := uuid.Parse(k.Value); err == nil && id.Version() == 7 {
		ms := int64(binary.BigEndian.Uint64(append([]byte{0, 0}, id[:6]...)))
		k.Value = id.String()
		k.IssuedAt = time.UnixMilli(ms)
		return k, nil
	}
	if k.IssuedAt.IsZero() || k.IssuedAt.UnixMilli() <= 0 {
		return k, result.New(result.IdempotencyKeyMalformed, "the key is not a UUIDv7 and has no separate issue time")
	}
	return k, nil
}

// Digest returns the digest of a resolved key.
func (k Key) Digest() Digest {
	h := sha256.New()
	issued := k.IssuedAt.UnixMilli()
	if IsTicket(k.Value) {
		issued = 0
	}
	fmt.Fprintf(h, "%d:%s%d:%s%d", len(k.Team), k.Team, len(k.Value), k.Value, issued)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// IsTicket reports whether key has the form of a run ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// ticket is the content of a run ticket. Only the process that issued the ticket
// decides about claims under it.
type ticket struct {
	VM          string
	Incarnation uint64
	Number      uint64
	Issued      time.Time
}

func (t ticket) sign(team string, secret []byte) string {
	vm := base64.RawURLEncoding.EncodeToString([]byte(t.VM))
	plain := fmt.Sprintf("%s%s.%d.%d.%d", ticketPrefix, vm, t.Incarnation, t.Number, t.Issued.UnixMilli())
	return plain + "." + mac(team, plain, secret)
}

func mac(team, plain string, secret []byte) string {
	h := hmac.New(sha256.New, secret)
	fmt.Fprintf(h, "claims-ticket:%d:%s:%s", len(team), team, plain)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:ticketMACBytes])
}

// parseTicket parses a ticket and checks its authentication code for team. Errors
// carry IdempotencyKeyMalformed.
func parseTicket(team, key string, secret []byte) (ticket, error) {
	malformed := result.New(result.IdempotencyKeyMalformed, "the run ticket is invalid or was issued by another fleet or to another team")
	parts := strings.Split(strings.TrimPrefix(key, ticketPrefix), ".")
	if len(parts) != 5 {
		return ticket{}, malformed
	}
	plain := ticketPrefix + strings.Join(parts[:4], ".")
	if !hmac.Equal([]byte(mac(team, plain, secret)), []byte(parts[4])) {
		return ticket{}, malformed
	}
	vm, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return ticket{}, malformed
	}
	var n [3]uint64
	for i, s := range parts[1:4] {
		if n[i], err = strconv.ParseUint(s, 10, 64); err != nil {
			return ticket{}, malformed
		}
	}
	issued := time.UnixMilli(int64(n[2]))
	return ticket{VM: string(vm), Incarnation: n[0], Number: n[1], Issued: issued}, nil
}
