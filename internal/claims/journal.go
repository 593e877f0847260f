package claims

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Bounds of one journal. Together they keep its encoding under
// platform.MaxValue: 2,000 records of at most 220 bytes beside the answers, and
// the answers.
const (
	maxRecords     = 2000
	maxAnswerBytes = 512 << 10
	maxKeptBody    = 4 << 10
	maxKeptHeader  = 512
)

// Claimer identifies one attempt to run a unit of work: a process and its
// count. Numbers are never used twice by a process, so a claimer found in a
// journal proves which attempt wrote it, whatever answer got lost.
type Claimer struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	Number      uint64
}

// JournalID names a journal. The journal of run tickets lives in the memory of
// the process that issued them and has a VM; all others are objects of the
// platform's service.
type JournalID struct {
	Bucket      int64  `cbor:"1,keyasint"`
	Slot        uint8  `cbor:"2,keyasint"`
	VM          string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

// journalOf says which journal judges a key. It depends on the key alone, never
// on a clock of ours: a VM whose clock is wrong still meets the same journal.
func journalOf(k Key, d Digest) JournalID {
	b := k.IssuedAt.UnixMilli() / BucketDuration.Milliseconds()
	return JournalID{Bucket: b, Slot: uint8(binary.BigEndian.Uint64(d[:8]) % SlotsPerBucket)}
}

// Name is the object's name; names sort by issue time.
func (id JournalID) Name() string { return fmt.Sprintf("%012d/%d", id.Bucket, id.Slot) }

// Stored is an outcome as a journal keeps it.
type StoredOutcome struct {
	_      struct{} `cbor:",toarray"`
	Run    result.RunState
	Code   result.Code
	Status int
	Header map[string][]string
	Body   []byte
	// Kept is false when header and body were too large to keep.
	Kept bool
}

func (s *StoredOutcome) size() int {
	n := len(s.Body)
	for k, vs := range s.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

func (s *StoredOutcome) trimmed() *StoredOutcome {
	return &StoredOutcome{Run: s.Run, Code: s.Code, Status: s.Status}
}

// store reduces an outcome to what a journal keeps.
func store(o Outcome) *StoredOutcome {
	s := &StoredOutcome{Run: o.Run, Code: o.Code, Status: o.Status, Header: o.Header, Body: o.Body, Kept: true}
	if len(o.Body) > maxKeptBody || s.size()-len(o.Body) > maxKeptHeader {
		return s.trimmed()
	}
	return s
}

// outcome is the reverse of store. An answer that was not kept returns with
// code AnswerNotKept, its status and no body.
func (s *StoredOutcome) outcome() Outcome {
	o := Outcome{Run: s.Run, Code: s.Code, Status: s.Status, Header: s.Header, Body: s.Body, Replayed: true}
	if !s.Kept && s.Run == result.Ran && s.Code == 0 {
		o.Code = result.AnswerNotKept
	}
	return o
}

// Record is a claim in a journal and, once the run has ended, its outcome.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Print   uint64
	Claimer Claimer
	Outcome *StoredOutcome
}

// Item is one change to a journal: a claim, or an outcome when Outcome is set.
type Item struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Print   uint64
	Claimer Claimer
	// Supersedes is an earlier claimer that never ran and never will, because
	// it said so itself or its recorded outcome is not_run.
	Supersedes Claimer
	Outcome    *StoredOutcome
}

// Verdict is what a journal says to an item.
type Verdict uint8

// Verdicts.
const (
	// Unavailable: the journal could not be read or written. The item may or
	// may not be in it.
	Unavailable Verdict = iota
	// Granted: the item's claimer, and no other, may run the work.
	Granted
	// Taken: another claim stands; the record is given.
	ClaimedByOther
	// Full: the journal has no room. Nothing was written.
	JournalFull
	// Expired: the journal is closed. Nothing was written.
	JournalClosed
	// Settled: the outcome is recorded.
	OutcomeRecorded
	// Void: the journal does not hold the claim of the outcome.
	ClaimMissing
	// Foreign: the process is not the one that issued the ticket.
	NotTicketIssuer
)

// journal is the decoded content of a journal.
type journal struct {
	closed  bool
	records []Record
	index   map[Digest]int
	answers int // bytes of the kept answers
	room    room
}

// room bounds a journal.
type room struct {
	records int
	answers int // bytes
}

var objectRoom = room{records: maxRecords, answers: maxAnswerBytes}

// document is a journal's encoding.
type document struct {
	Closed  bool     `cbor:"1,keyasint,omitempty"`
	Records []Record `cbor:"2,keyasint"`
}

func newJournal(r room) *journal { return &journal{index: make(map[Digest]int), room: r} }

func decodeJournal(b []byte) (*journal, error) {
	var doc document
	if err := cbor.Unmarshal(b, &doc); err != nil {
		return nil, trace.Wrap(err)
	}
	j := &journal{closed: doc.Closed, records: doc.Records, index: make(map[Digest]int, len(doc.Records)), room: objectRoom}
	for i, r := range doc.Records {
		j.index[r.Digest] = i
		if r.Outcome != nil {
			j.answers += r.Outcome.size()
		}
	}
	return j, nil
}

func (j *journal) encode() ([]byte, error) {
	b, err := cbor.Marshal(document{Closed: j.closed, Records: j.records})
	return b, trace.Wrap(err)
}

// apply merges an item. It reports the verdict, the record that stands, and
// whether the journal changed. Applying an item again changes nothing, so a
// write whose answer was lost is settled by reading and applying anew.
func (j *journal) apply(it Item) (Verdict, Record, bool) {
	i, ok := j.index[it.Digest]
	if it.Outcome != nil {
		return j.settle(it, i, ok)
	}
	if !ok {
		return j.claim(it)
	}
	r := &j.records[i]
	if r.Claimer == it.Claimer && r.Outcome == nil {
		return Granted, *r, false
	}
	ran := r.Outcome != nil && r.Outcome.Run != result.NotRun
	if ran || r.Print != it.Print || r.Claimer != it.Supersedes || j.closed {
		return ClaimedByOther, *r, false
	}
	// The claim that stands never ran and never will; only now may another
	// claimer take its place, and only by this same conditional write.
	if r.Outcome != nil {
		j.answers -= r.Outcome.size()
	}
	r.Claimer = it.Claimer
	r.Outcome = nil
	return Granted, *r, true
}

func (j *journal) claim(it Item) (Verdict, Record, bool) {
	if j.closed {
		return JournalClosed, Record{}, false
	}
	if len(j.records) >= j.room.records {
		return JournalFull, Record{}, false
	}
	r := Record{Digest: it.Digest, Print: it.Print, Claimer: it.Claimer}
	j.index[it.Digest] = len(j.records)
	j.records = append(j.records, r)
	return Granted, r, true
}

func (j *journal) settle(it Item, i int, ok bool) (Verdict, Record, bool) {
	if j.closed {
		return JournalClosed, Record{}, false
	}
	if !ok || j.records[i].Claimer != it.Claimer {
		return ClaimMissing, Record{}, false
	}
	if j.records[i].Outcome != nil {
		return OutcomeRecorded, Record{}, false
	}
	out := it.Outcome
	if out.size() > maxKeptBody+maxKeptHeader || j.answers+out.size() > j.room.answers {
		out = out.trimmed()
	}
	j.answers += out.size()
	j.records[i].Outcome = out
	return OutcomeRecorded, j.records[i], true
}

// remove forgets a record; only the journal of tickets does so.
func (j *journal) remove(d Digest) {
	i, ok := j.index[d]
	if !ok {
		return
	}
	if o := j.records[i].Outcome; o != nil {
		j.answers -= o.size()
	}
	last := len(j.records) - 1
	j.records[i] = j.records[last]
	j.index[j.records[i].Digest] = i
	j.records = j.records[:last]
	delete(j.index, d)
}

// printOf shortens a fingerprint to what a record holds.
func printOf(s string) uint64 { return xxhash.Sum64String(s) }
