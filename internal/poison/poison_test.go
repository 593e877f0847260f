package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var begin = time.Now()

// at returns a time in milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// crash crashes an upstream under runs that began at a time, each with some keys.
func crash(c *Core, ms, beganMS int, upstream string, runs ...[]Key) {
	for _, keys := range runs {
		c.Broken(at(ms), Run{Upstream: upstream, Incarnation: 1, Keys: keys, BeganAt: at(beganMS), EndedAt: at(ms)})
	}
	c.Confirm(at(ms+1), upstream, 1)
}

func blocked(c *Core, ms int, keys ...Key) bool {
	_, is := c.Blocked(at(ms), keys)
	return is
}

func TestKeysOf(t *testing.T) {
	a, b := KeysOf("/a", "team", []byte("x"), []string{"p", "q"}), KeysOf("/a", "team", []byte("y"), []string{"p", "r"})
	assert.Len(t, a, 3)
	assert.True(t, a[0].whole())
	assert.NotEqual(t, a[0], b[0])
	assert.Equal(t, a[1], b[1])
	assert.NotEqual(t, a[2], b[2])
	assert.Equal(t, a, KeysOf("/a", "team", []byte("x"), []string{"p", "q"}))
	assert.Len(t, KeysOf("/a", "team", nil, make([]string, 5000)), 5001)
}

const (
	deadly Key = 2
	sound  Key = 4
	shared Key = 6
	whole  Key = 9
)

func TestBlocked(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		assert.False(t, blocked(c, 1000*i, whole))
		crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), []Key{whole})
	}
	assert.True(t, blocked(c, 3000, whole))
	assert.True(t, blocked(c, 3000, sound, whole))
	assert.False(t, blocked(c, 3000, sound))
	assert.Equal(t, 1, c.BlockedCount(at(3000)))
	assert.False(t, blocked(c, 3000+3*60_000, whole), "it is tried again")
	crash(c, 200_000, 199_900, "again", []Key{whole})
	assert.True(t, blocked(c, 200_001, whole), "one more crash suffices")
	left, _ := c.Blocked(at(200_001), []Key{whole})
	assert.Greater(t, left, 2*minBlockTime-time.Second)
}

func TestOnlyCrashesCount(t *testing.T) {
	c := New("vm")
	for i := range 2 * minCrashes {
		run := Run{Upstream: fmt.Sprint(i), Incarnation: 1, Keys: []Key{whole}, BeganAt: at(1000 * i), EndedAt: at(1000*i + 10)}
		assert.True(t, c.Broken(at(1000*i+10), run))
		assert.False(t, c.Broken(at(1000*i+10), run), "one check is enough")
	}
	assert.False(t, blocked(c, 6000, whole), "connections to healthy upstreams break, too")
	for i := range minCrashes {
		crash(c, 7000+1000*i, 6990+1000*i, fmt.Sprint("crashed", i), []Key{whole})
	}
	assert.True(t, blocked(c, 10_000, whole))
}

// Guards against sound content that is blocked because upstreams that broke
// connections stopped, as planned, some seconds later.
func TestBrokenConnectionBeforeAPlannedStopIsNoCrash(t *testing.T) {
	c := New("vm")
	for i := range 2 * minCrashes {
		ms, upstream := 10_000*i, fmt.Sprint(i)
		c.Broken(at(ms), Run{Upstream: upstream, Incarnation: 1, Keys: []Key{shared}, BeganAt: at(ms - 10), EndedAt: at(ms)})
		if i%2 == 0 {
			c.Alive(at(ms+10), upstream, 1)
			c.Confirm(at(ms+1000), upstream, 1)
		} else {
			c.Confirm(at(ms+5000), upstream, 1)
		}
	}
	assert.False(t, blocked(c, 60_000, shared))
}

// Guards against sound content that is blocked because crashes are learned of after
// requests with it completed.
func TestCompletedBeforeTheCrashIsKnown(t *testing.T) {
	c, other := New("vm"), New("vm-2")
	for i := range minCrashes {
		crash(other, 2000*i, 2000*i-10, fmt.Sprint("a", i), []Key{shared})
		crash(other, 2000*i, 2000*i-10, fmt.Sprint("b", i), []Key{deadly})
		c.Completed(at(2000*i+1000), []Key{shared})
	}
	end := 2000 * minCrashes
	c.Merge(at(end), other.Share(at(end)))
	assert.False(t, blocked(c, end, shared))
	assert.True(t, blocked(c, end, deadly))
}

// Guards against sound content that is blocked because it was running on several
// upstreams that were lost together.
func TestLossOfSeveralUpstreamsBlocksNothing(t *testing.T) {
	c := New("vm")
	for i := range 2 * minCrashes {
		crash(c, 100+i, 50, fmt.Sprint(i), []Key{sound})
	}
	assert.False(t, blocked(c, 200, sound))
}

func TestCompletedRequestClears(t *testing.T) {
	c := New("vm")
	for i := range 2 * minCrashes {
		crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), []Key{shared, deadly})
		c.Completed(at(1000*i+200), []Key{shared, sound})
	}
	assert.True(t, blocked(c, 6000, deadly))
	assert.False(t, blocked(c, 6000, shared))
}

// Guards against sound content that stays blocked because it was running wherever
// the deadly content was.
func TestExplainedCrashesDoNotCount(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), []Key{deadly}, []Key{sound})
	}
	assert.True(t, blocked(c, 3000, deadly) != blocked(c, 3000, sound), "one of them explains all crashes")
	crash(c, 3100, 3050, "last", []Key{deadly})
	assert.True(t, blocked(c, 4000, deadly))
	assert.False(t, blocked(c, 4000, sound))
}

// Guards against sound prompts that are refused for their first part.
func TestDeeperPartIsBlocked(t *testing.T) {
	for _, keys := range [][]Key{{9, 4, 2}, {9, 2, 4}} {
		c := New("vm")
		for i := range minCrashes + 1 {
			keys[0] += 2 // no two requests are alike
			crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), keys)
		}
		assert.False(t, blocked(c, 4000, keys[1]))
		assert.True(t, blocked(c, 4000, keys[2]))
	}
}

func TestTwoDeadlyParts(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		crash(c, 1000*i+100, 1000*i+50, fmt.Sprint("a", i), []Key{deadly}, []Key{sound})
		crash(c, 1000*i+600, 1000*i+550, fmt.Sprint("b", i), []Key{shared})
	}
	crash(c, 4000, 3900, "c", []Key{deadly})
	assert.True(t, blocked(c, 5000, deadly))
	assert.True(t, blocked(c, 5000, shared))
	assert.False(t, blocked(c, 5000, sound))
}

// Guards against a deadly request that is never noticed, because this VM drops its
// answers just before the crashes.
func TestCrashAfterDroppedRun(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		upstream := fmt.Sprint(i)
		c.Dropped(at(1000*i+50), Run{Upstream: upstream, Incarnation: 1, Keys: []Key{deadly}, BeganAt: at(1000*i + 40), EndedAt: at(1000*i + 50)})
		c.Dropped(at(1000*i), Run{Upstream: "healthy", Incarnation: 1, Keys: []Key{shared}, BeganAt: at(1000 * i), EndedAt: at(1000 * i)})
		crash(c, 1000*i+100, 1000*i+30, upstream, []Key{Key(100 + 2*i)})
	}
	assert.True(t, blocked(c, 3000, deadly))
	assert.False(t, blocked(c, 3000, shared))
}

func TestSuspectsAreRelayed(t *testing.T) {
	a, b := New("a"), New("b")
	for i := range minCrashes {
		crash(a, 1000*i+100, 1000*i+50, fmt.Sprint(i), []Key{deadly})
	}
	b.Merge(at(3000), a.Share(at(3000)))
	assert.True(t, blocked(b, 3000, deadly))
	left, _ := b.Blocked(at(3000), []Key{deadly})
	for range 10 { // each exchange takes 20 ms
		a.Merge(at(3020), b.Share(at(3000)))
		b.Merge(at(3040), a.Share(at(3020)))
	}
	again, _ := b.Blocked(at(3000), []Key{deadly})
	assert.LessOrEqual(t, again, left, "relaying does not extend the block")
	b.Completed(at(3100), []Key{deadly})
	a.Merge(at(3200), b.Share(at(3200)))
	assert.False(t, blocked(a, 3200, deadly))
	a.Merge(at(3300), New("c").Share(at(3300)))
	assert.False(t, blocked(a, 3300, deadly))
}

func TestCrashKnownFromAnotherVMConfirmsOwnRuns(t *testing.T) {
	a, b := New("a"), New("b")
	for i := range minCrashes {
		run := Run{Upstream: fmt.Sprint(i), Incarnation: 1, Keys: []Key{deadly}, BeganAt: at(1000*i + 50), EndedAt: at(1000*i + 100)}
		a.Broken(at(1000*i+100), run)
		crash(b, 1000*i+100, 1000*i, fmt.Sprint(i), []Key{Key(100 + 2*i)})
		a.Merge(at(1000*i+200), b.Share(at(1000*i+200)))
	}
	assert.True(t, blocked(a, 3000, deadly))
}

func TestRecordsAreBounded(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), []Key{deadly})
	}
	const perCrash = 4
	for i := range 3 * maxSuspects / perCrash {
		var keys []Key
		for j := range perCrash {
			keys = append(keys, Key(1000+2*(perCrash*i+j)))
		}
		crash(c, 5000+i, 5000+i, fmt.Sprint("u", i), keys)
		c.Dropped(at(5000+i), Run{Upstream: "x", Keys: []Key{sound}, EndedAt: at(5000 + i)})
	}
	assert.LessOrEqual(t, len(c.suspects), maxSuspects)
	assert.LessOrEqual(t, len(c.runs.list), maxUnconfirmedRuns)
	assert.LessOrEqual(t, len(c.Share(at(8000))), maxSharedSuspects)
	assert.True(t, blocked(c, 8000, deadly), "the worst is kept")
	for i := range 3 * maxMarks {
		crash(c, 9000+1000*i, 8990+1000*i, fmt.Sprint("v", i), []Key{deadly})
	}
	assert.LessOrEqual(t, len(c.suspects[deadly].marks), maxMarks)
	c.judge(at(10_000_000))
	c.stale = true
	c.judge(at(10_000_000))
	assert.Empty(t, c.suspects)
}

// Guards against content that is blocked because some VMs lost their path to upstreams,
// which looks like a crash of each of them there, while other VMs still reach them.
func TestLostPathsLookLikeCrashes(t *testing.T) {
	for name, sharedMS := range map[string]int{"contact before the marks arrive": 500, "contact after the marks arrive": 310} {
		t.Run(name, func(t *testing.T) {
			cut, sees := New("cut"), New("sees")
			for i := range minCrashes {
				crash(cut, 100*(i+1), 100*i+50, fmt.Sprint("u", i), []Key{shared})
			}
			assert.True(t, blocked(cut, sharedMS, shared), "by its own knowledge")
			contact := func() {
				for i := range minCrashes {
					sees.Contact(at(450), at(400+i), fmt.Sprint("u", i), 1)
				}
			}
			if sharedMS > 400 {
				contact()
				sees.Merge(at(sharedMS), cut.Share(at(sharedMS)))
			} else {
				sees.Merge(at(sharedMS), cut.Share(at(sharedMS)))
				assert.True(t, blocked(sees, sharedMS, shared))
				contact()
			}
			assert.False(t, blocked(sees, 501, shared))
			cut.Merge(at(600), sees.Share(at(600)))
			assert.False(t, blocked(cut, 601, shared))
		})
	}
}

// Guards against crashes that do not count because the upstream has started again, or
// because it responded on a connection from before.
func TestContactSaysNothingOfTheCrash(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		u, ms := fmt.Sprint("u", i), 5000*i+100
		crash(c, ms, ms-50, u, []Key{deadly})
		c.Contact(at(ms+5), at(ms-1), u, 1)
		c.Contact(at(ms+2000), at(ms+2000), u, 1)
	}
	assert.True(t, blocked(c, 20_000, deadly))
}

// Guards against crashes that do not count, because they are dated back to a connection
// that the upstream broke earlier, after which it went on responding.
func TestCrashIsDatedBackToAnEarlierBreak(t *testing.T) {
	for name, other := range map[string]bool{"responded to this VM": false, "responded to another VM": true} {
		t.Run(name, func(t *testing.T) {
			c, sees := New("vm"), New("vm-2")
			for i := range minCrashes {
				ms, u := 5000*i, fmt.Sprint(i)
				c.Broken(at(ms), Run{Upstream: u, Incarnation: 1, Keys: []Key{sound}, BeganAt: at(ms - 10), EndedAt: at(ms)})
				if other {
					sees.Contact(at(ms+400), at(ms+200), u, 1)
				} else {
					c.Contact(at(ms+400), at(ms+200), u, 1)
				}
				crash(c, ms+900, ms+880, u, []Key{deadly})
				sees.Merge(at(ms+950), c.Share(at(ms+950)))
				c.Merge(at(ms+990), sees.Share(at(ms+990)))
			}
			end := 5000 * minCrashes
			assert.True(t, blocked(c, end, deadly))
			assert.True(t, blocked(sees, end, deadly))
			assert.False(t, blocked(c, end, sound))
		})
	}
}

func TestStoredContentIsRestored(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), []Key{deadly}, []Key{Key(100 + 2*i)})
	}
	raw, contents, err := c.Stored(at(3000))
	assert.NoError(t, err)
	assert.Equal(t, 1, contents, "suspects below the limit are not stored")
	fresh := New("vm-2")
	n, err := fresh.Restore(at(4000), raw)
	assert.NoError(t, err)
	assert.Equal(t, 1, n)
	assert.True(t, blocked(fresh, 4000, deadly))
	again, _, err := fresh.Stored(at(4000))
	assert.NoError(t, err)
	assert.True(t, SameContents(raw, again))
	left, _ := fresh.Blocked(at(4000), []Key{deadly})
	assert.LessOrEqual(t, left, 2*minBlockTime)
	late := New("vm-3")
	_, err = late.Restore(at(4000).Add(2*blockedTTL), raw)
	assert.NoError(t, err)
	assert.False(t, blocked(late, 4000, deadly), "too old")
}

// Guards against content that was found sound and is blocked again by an older record.
func TestOlderRecordsBlockNothingThatWasCleared(t *testing.T) {
	c := New("vm")
	for i := range minCrashes {
		crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), []Key{sound})
	}
	raw, _, err := c.Stored(at(3000))
	assert.NoError(t, err)
	c.Completed(at(3100), []Key{sound})
	_, err = c.Restore(at(3200), raw)
	assert.NoError(t, err)
	assert.False(t, blocked(c, 3200, sound))
	now, contents, err := c.Stored(at(3200))
	assert.NoError(t, err)
	assert.Zero(t, contents)
	assert.False(t, SameContents(raw, now))
}

func TestDamagedRecords(t *testing.T) {
	for _, raw := range []string{"", "null", "[]", `"x"`, `{"format":"a"}`, `{"format":1,"contents":[{"key":5}]}`, `{"format":1,"contents":[{"key":"x"}]}`} {
		c := New("vm")
		_, err := c.Restore(at(0), []byte(raw))
		if raw != "null" {
			assert.Error(t, err, raw)
		}
	}
	c := New("vm")
	_, err := c.Restore(at(0), []byte(`{"format":2,"contents":[]}`))
	assert.ErrorIs(t, err, ErrOtherFormat)
	n, err := c.Restore(at(0), []byte(`{"format":1,"later":true,"contents":[{"key":"4","later":1,"marks":[{"crash":1,"crashedAt":-5,"ranMs":-7}]}]}`))
	assert.NoError(t, err, "fields of later builds are passed over")
	assert.Equal(t, 1, n)
}

// Guards against a deadly part that is not found because many parts stand before it.
func TestDeadlyPartAtAnyPosition(t *testing.T) {
	const parts = 600
	for _, position := range []int{0, 15, 16, 17, 300, parts - 1} {
		t.Run(fmt.Sprint(position), func(t *testing.T) {
			c := New("vm")
			prompt := func(n int, deadly bool) []Key {
				list := make([]string, parts)
				for i := range list {
					list[i] = fmt.Sprint("sound-", i)
				}
				if deadly {
					list[position] = "deadly"
				}
				return KeysOf(fmt.Sprint("/", n), "team", nil, list)
			}
			for i := range minCrashes {
				crash(c, 1000*i+100, 1000*i+50, fmt.Sprint(i), prompt(i, true))
				c.Completed(at(1000*i+500), prompt(100+i, false))
			}
			assert.True(t, blocked(c, 4000, prompt(50, true)...))
			assert.False(t, blocked(c, 4000, prompt(51, false)...))
		})
	}
}

func BenchmarkKeysOf(b *testing.B) {
	parts := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "0a12bc34"}
	b.ReportAllocs()
	for b.Loop() {
		KeysOf("/lohu930/2f", "team", nil, parts)
	}
}
