package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// maxStampAttempts bounds the attempts to create or read the stamp of one key.
const maxStampAttempts = 3

// Stamp sets the issue time of a key that has none. The issue time selects the
// journal, so every arrival of the key must get the same time. The first arrival
// creates the key's stamp, an object that holds the time. If several VMs receive
// the key at once, one create succeeds and the other VMs read its time. Other
// keys are returned unchanged. Errors: those of Key.Resolve, and ClaimUnavailable
// if the store can neither create nor read the stamp; then nothing ran.
//
// The stamp is never removed here: without it, the key could get a second issue
// time and run again.
func (s *Service) Stamp(ctx context.Context, k Key) (Key, error) {
	if !k.needsStamp() {
		return k, nil
	}
	if len(k.Value) > maxKeyBytes || len(k.Team) > maxTeamBytes {
		return k, result.New(result.IdempotencyKeyMalformed, "the key is longer than %d bytes", maxKeyBytes)
	}
	name := k.stampName()
	for range maxStampAttempts {
		issued, err := s.createOrReadStamp(ctx, name)
		if err == nil {
			k.IssuedAt = issued
			return k, nil
		}
		if !stampMayExist(err) {
			return k, result.New(result.ClaimUnavailable, "could not store or read the key's issue time: %v", result.From(err).Detail)
		}
	}
	return k, result.New(result.ClaimUnavailable, "could not store or read the key's issue time: too many attempts")
}

// stampMayExist reports whether the stamp may exist after a create that failed
// with err: another VM has created it, or the answer to the create was lost. Then
// another attempt can read it.
func stampMayExist(err error) bool {
	return result.Is(err, result.PlatformConflict) || result.Is(err, result.PlatformWriteUnknown)
}

func (s *Service) createOrReadStamp(ctx context.Context, name string) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
	defer cancel()
	now := time.Now().Truncate(time.Millisecond)
	value := strconv.FormatInt(now.UnixMilli(), 10)
	_, err := s.store.Create(ctx, platform.KindKey, name, []byte(value))
	if err == nil {
		return now, nil
	}
	if !stampMayExist(err) {
		return time.Time{}, trace.Wrap(err)
	}
	o, getErr := s.store.Get(ctx, platform.KindKey, name)
	if getErr != nil {
		return time.Time{}, trace.Wrap(err)
	}
	ms, parseErr := strconv.ParseInt(string(o.Value), 10, 64)
	if parseErr != nil {
		return time.Time{}, trace.Wrap(result.New(result.Internal, "the issue time stored under %s is malformed", name))
	}
	return time.UnixMilli(ms), nil
}

// needsStamp reports whether the key has no issue time, neither in Key nor in
// IssuedAt.
func (k Key) needsStamp() bool {
	if k.Value == "" {
		return false
	}
	_, err := k.Resolve()
	return result.Is(err, result.IdempotencyKeyMalformed) && k.IssuedAt.IsZero()
}

// stampName returns the name of the stamp: a hash of team and key.
func (k Key) stampName() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%s", len(k.Team), k.Team, k.Value)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
