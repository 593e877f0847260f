package claims

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Bounds of one journal. Together they keep its encoding below
// platform.MaxValueBytes: 2,000 records of at most 220 bytes each without the
// content, plus the content. Content is the header and body of stored outcomes.
const (
	maxRecords           = 2000
	maxContentBytes      = 512 << 10
	maxStoredBodyBytes   = 4 << 10
	maxStoredHeaderBytes = 512
)

// Claimer identifies one attempt to run a unit of work by the process and its
// claim number. A process never reuses a number, so a claimer found in a journal
// shows which attempt wrote it, even if the answer to the write was lost.
type Claimer struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	Number      uint64
}

// JournalID identifies a journal. The journal of run tickets is kept in the memory
// of the process that issued them, and VM and Incarnation are set. All other
// journals are objects of the platform's object store.
type JournalID struct {
	Bucket      int64  `cbor:"1,keyasint"`
	Slot        uint8  `cbor:"2,keyasint"`
	VM          string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

// journalOf returns the journal that decides about a key. It depends only on the
// key and not on the clock of a VM, so a VM with a wrong clock uses the same
// journal.
func journalOf(k Key, d Digest) JournalID {
	bucket := k.IssuedAt.UnixMilli() / BucketDuration.Milliseconds()
	return JournalID{Bucket: bucket, Slot: uint8(binary.BigEndian.Uint64(d[:8]) % SlotsPerBucket)}
}

// Name returns the object's name. Names sort by issue time.
func (id JournalID) Name() string { return fmt.Sprintf("%012d/%d", id.Bucket, id.Slot) }

// StoredOutcome is an outcome as it is stored in a journal.
type StoredOutcome struct {
	_      struct{} `cbor:",toarray"`
	Run    result.RunState
	Code   result.Code
	Status int
	Header map[string][]string
	Body   []byte
	// Kept is false if header and body were too large to store. It is true if
	// there are none.
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

func (s *StoredOutcome) withoutContent() *StoredOutcome {
	return &StoredOutcome{Run: s.Run, Code: s.Code, Status: s.Status}
}

// newStoredOutcome converts an outcome to its stored form, without header and body
// if they are too large.
func newStoredOutcome(o Outcome) *StoredOutcome {
	s := &StoredOutcome{Run: o.Run, Code: o.Code, Status: o.Status, Header: o.Header, Body: o.Body, Kept: true}
	if len(o.Body) > maxStoredBodyBytes || s.size()-len(o.Body) > maxStoredHeaderBytes {
		return s.withoutContent()
	}
	return s
}

// outcome is the reverse of newStoredOutcome. If header and body were not stored,
// the outcome has code AnswerNotStored, the answer's status and no body.
func (s *StoredOutcome) outcome() Outcome {
	o := Outcome{Run: s.Run, Code: s.Code, Status: s.Status, Header: s.Header, Body: s.Body, Replayed: true}
	if !s.Kept && s.Run == result.Ran && s.Code == 0 {
		o.Code = result.AnswerNotStored
	}
	return o
}

// Record is a claim in a journal and, once the run has ended, its outcome.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Print   uint64 // hash of Request.Fingerprint
	Claimer Claimer
	Outcome *StoredOutcome
}

// Item is one change to a journal: a claim, or an outcome if Outcome is set.
type Item struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Print   uint64 // hash of Request.Fingerprint
	Claimer Claimer
	// Supersedes is an earlier claimer that never ran the work and never will:
	// its process confirmed this, or its recorded outcome is not_run.
	Supersedes Claimer
	Outcome    *StoredOutcome
}

// Verdict is the result of applying an item to a journal.
type Verdict uint8

// Verdicts.
const (
	// Unavailable: the journal could not be read or written. The item may or
	// may not be in it.
	Unavailable Verdict = iota
	// Granted: only the item's claimer may run the work.
	Granted
	// ClaimedByOther: the journal holds another claim, whose record is in the
	// answer.
	ClaimedByOther
	// JournalFull: the journal is full. Nothing was written.
	JournalFull
	// JournalClosed: the journal is closed. Nothing was written.
	JournalClosed
	// OutcomeRecorded: the outcome is recorded.
	OutcomeRecorded
	// ClaimMissing: the journal does not hold the claim of the outcome.
	ClaimMissing
	// NotTicketIssuer: the process did not issue the ticket.
	NotTicketIssuer
)

// journal is the decoded content of a journal.
type journal struct {
	closed       bool
	records      []Record
	index        map[Digest]int
	contentBytes int // total size of the stored headers and bodies
	limits       journalLimits
}

// journalLimits bounds the content of a journal.
type journalLimits struct {
	maxRecords      int
	maxContentBytes int
}

var objectLimits = journalLimits{maxRecords: maxRecords, maxContentBytes: maxContentBytes}

// encodedJournal is the encoded form of a journal.
type encodedJournal struct {
	Closed  bool     `cbor:"1,keyasint,omitempty"`
	Records []Record `cbor:"2,keyasint"`
}

func newJournal(l journalLimits) *journal { return &journal{index: make(map[Digest]int), limits: l} }

func decodeJournal(b []byte) (*journal, error) {
	var doc encodedJournal
	if err := cbor.Unmarshal(b, &doc); err != nil {
		return nil, trace.Wrap(err)
	}
	j := &journal{closed: doc.Closed, records: doc.Records, index: make(map[Digest]int, len(doc.Records)), limits: objectLimits}
	for i, r := range doc.Records {
		j.index[r.Digest] = i
		if r.Outcome != nil {
			j.contentBytes += r.Outcome.size()
		}
	}
	return j, nil
}

func (j *journal) encode() ([]byte, error) {
	b, err := cbor.Marshal(encodedJournal{Closed: j.closed, Records: j.records})
	return b, trace.Wrap(err)
}

// apply applies an item. It returns the verdict, the record that the journal holds
// and whether the journal changed. Applying an item twice changes nothing, so a
// write whose answer was lost can be retried by reading the journal and applying
// its items again.
func (j *journal) apply(it Item) (Verdict, Record, bool) {
	i, ok := j.index[it.Digest]
	if it.Outcome != nil {
		return j.recordOutcome(it, i, ok)
	}
	if !ok {
		return j.addClaim(it)
	}
	r := &j.records[i]
	if r.Claimer == it.Claimer && r.Outcome == nil {
		return Granted, *r, false
	}
	ran := r.Outcome != nil && r.Outcome.Run != result.NotRun
	if ran || r.Print != it.Print || r.Claimer != it.Supersedes || j.closed {
		return ClaimedByOther, *r, false
	}
	// The work of the recorded claim never ran and never will. Only in this case
	// may another claimer replace it, and only with this conditional write.
	if r.Outcome != nil {
		j.contentBytes -= r.Outcome.size()
	}
	r.Claimer = it.Claimer
	r.Outcome = nil
	return Granted, *r, true
}

func (j *journal) addClaim(it Item) (Verdict, Record, bool) {
	if j.closed {
		return JournalClosed, Record{}, false
	}
	if len(j.records) >= j.limits.maxRecords {
		return JournalFull, Record{}, false
	}
	r := Record{Digest: it.Digest, Print: it.Print, Claimer: it.Claimer}
	j.index[it.Digest] = len(j.records)
	j.records = append(j.records, r)
	return Granted, r, true
}

func (j *journal) recordOutcome(it Item, i int, ok bool) (Verdict, Record, bool) {
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
	if out.size() > maxStoredBodyBytes+maxStoredHeaderBytes || j.contentBytes+out.size() > j.limits.maxContentBytes {
		out = out.withoutContent()
	}
	j.contentBytes += out.size()
	j.records[i].Outcome = out
	return OutcomeRecorded, j.records[i], true
}

// remove deletes a record. Only the journal of tickets uses it.
func (j *journal) remove(d Digest) {
	i, ok := j.index[d]
	if !ok {
		return
	}
	if o := j.records[i].Outcome; o != nil {
		j.contentBytes -= o.size()
	}
	last := len(j.records) - 1
	j.records[i] = j.records[last]
	j.index[j.records[i].Digest] = i
	j.records = j.records[:last]
	delete(j.index, d)
}

// fingerprintHash shortens a fingerprint to the hash that a record holds.
func fingerprintHash(s string) uint64 { return xxhash.Sum64String(s) }
