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

// stampTries bounds the calls that settle one key's issue time.
const maxStampAttempts = 3

// Stamp gives a key without an issue time the one that its first arrival
// anywhere was given, so that every arrival meets the same journal. The first
// arrival creates an object that holds the time; the create decides between VMs
// that see the key at once. Other keys are returned as they are. Errors: those
// of Key.Resolve, and ClaimUnavailable when the store does not settle it; then
// nothing ran.
//
// The object is never removed here: a key whose time were forgotten could get a
// second one, and run again.
func (s *Service) Stamp(ctx context.Context, k Key) (Key, error) {
	if !k.needsStamp() {
		return k, nil
	}
	if len(k.Key) > maxKeyBytes || len(k.Team) > maxTeamBytes {
		return k, result.New(result.KeyMalformed, "the key is longer than %d bytes", maxKeyBytes)
	}
	name := k.stampName()
	for range maxStampAttempts {
		issued, err := s.createOrReadStamp(ctx, name)
		if err == nil {
			k.IssuedAt = issued
			return k, nil
		}
		if !stampMayExist(err) {
			return k, result.New(result.ClaimUnavailable, "the key can't be registered: %v", result.From(err).Detail)
		}
	}
	return k, result.New(result.ClaimUnavailable, "the key can't be registered now")
}

// settles reports whether another look may settle the stamp: somebody else has
// created it, or it is not known who has.
func stampMayExist(err error) bool {
	return result.Is(err, result.PlatformConflict) || result.Is(err, result.PlatformUnsure)
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
		return time.Time{}, trace.Wrap(result.New(result.Internal, "the stamp %s can't be read", name))
	}
	return time.UnixMilli(ms), nil
}

// needsStamp reports whether the key has no issue time, in it or beside it.
func (k Key) needsStamp() bool {
	if k.Key == "" {
		return false
	}
	_, err := k.Resolve()
	return result.Is(err, result.KeyMalformed) && k.IssuedAt.IsZero()
}

// stampName is the object's name: a digest of team and key.
func (k Key) stampName() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%s", len(k.Team), k.Team, k.Key)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
