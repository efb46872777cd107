// Package quarantiner keeps requests that crash upstreams from crashing more.
//
// A request is known by the digest of its content, so that a new request key
// does not hide it. When an upstream crashes, every request in flight there is
// blamed and becomes a suspect. A suspect needs a permit, of which there is one
// at a time in the whole fleet. After one victim it runs apart from other
// suspects, after more victims alone, on an upstream without other work. When a
// run with a permit succeeds, the suspect is acquitted; if it is blamed again
// within Memory, it stays a suspect until Memory has passed without a crash.
//
// With MaxVictims upstreams lost the request is quarantined: no daemon runs it
// until an operator lifts the quarantine. Without a crash of a run alone there
// is no proof, and the request may run alone once Memory has passed. So the
// innocent are not refused for good.
//
// Permits come from the store by compare-and-swap and charge the victim before
// the run. A run whose daemon dies or whose answer is lost therefore counts as a
// crash, and for suspects the bound needs no trust in messages or clocks. A crash
// is shared with all daemons before its caller has an answer. So within Memory a
// digest loses at most MaxVictims upstreams, or, if these were more, as many as
// were running it at its first crash, plus one for each daemon that the reports
// did not reach. Within one daemon the runs of a digest share one upstream, so
// those are at most one per daemon; see Running.
//
// The Quarantiner is the state of one daemon, without I/O; the Registry talks to
// the store.
//
//	if q.Check(now, digest) == quarantiner.Suspect {
//		permit, err := registry.Permit(ctx, digest)
//		...
//		defer permit.End(ctx, upstream, crashed) // after q.End
//	}
//	q.Begin(now, digest, upstream)
//	defer q.End(now, digest, upstream, crashed)
package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumline/recorder"
)

// Verdict says how a request may run.
type Verdict uint8

const (
	// Clear means that the request may run beside others.
	Clear Verdict = iota
	// Suspect means that the request may only run alone, with a permit.
	Suspect
	// Quarantined means that the request may not run.
	Quarantined
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"clear", "suspect", "quarantined"}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Record is what daemons and the store know of one digest.
type Record struct {
	Digest Digest `cbor:"1,keyasint"`
	// CrashedUpstreams are the upstreams lost while they ran the request, one entry per crash.
	CrashedUpstreams []string `cbor:"2,keyasint,omitempty"`
	// Version goes up with each change of the record in the store. Zero is a
	// record that the store does not have yet.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// ExclusiveCrashes is the number of victims that ran nothing else.
	ExclusiveCrashes int `cbor:"4,keyasint,omitempty"`
	// Cleared is true when the request may run beside others again.
	Cleared bool `cbor:"5,keyasint,omitempty"`
	// PermittedSuccesses is the number of runs with a permit that did not crash.
	PermittedSuccesses int `cbor:"6,keyasint,omitempty"`
	// LastCrash is the time of the last crash in seconds since 1970.
	LastCrash int64 `cbor:"7,keyasint,omitempty"`
	// PermitHolder is the daemon that has the permit to run the request now.
	PermitHolder string `cbor:"8,keyasint,omitempty"`
	// PermitGranted is the time of the permit in seconds since 1970.
	PermitGranted int64 `cbor:"9,keyasint,omitempty"`
	// Lifts is the number of times that an operator lifted the quarantine.
	Lifts int `cbor:"10,keyasint,omitempty"`
}

// Config holds the settings of a Quarantiner. Zero values mean the defaults.
type Config struct {
	// Publish tells the other daemons of a changed verdict. End returns after
	// Publish, so a caller that only answers after End cannot retry unnoticed.
	Publish func(Digest, Verdict)
	// Broadcast sends the records of one crash to the other daemons. End returns after
	// Broadcast; see Sharer.
	Broadcast func([]Record)
	// MaxCrashes is the number of upstreams that one request may crash.
	MaxCrashes int
	// SuspicionPeriod is how long a suspect is remembered without a further crash.
	SuspicionPeriod time.Duration
	// MaxRecords bounds the digests that are remembered.
	MaxRecords int
	// Recorder counts verdicts. Nil discards them.
	Recorder *recorder.Recorder
}

// permitPrefix begins the entry that a permit adds to the victims until it ends.
const permitPrefix = "permit of "

const (
	defaultMaxCrashes      = 3
	defaultSuspicionPeriod = 30 * time.Minute
	defaultMaxRecords      = 1 << 14
)

func (c Config) withDefaults() Config {
	if c.Publish == nil {
		c.Publish = func(Digest, Verdict) {}
	}
	if c.Broadcast == nil {
		c.Broadcast = func([]Record) {}
	}
	if c.MaxCrashes <= 0 {
		c.MaxCrashes = defaultMaxCrashes
	}
	if c.SuspicionPeriod <= 0 {
		c.SuspicionPeriod = defaultSuspicionPeriod
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = defaultMaxRecords
	}
	return c
}

// execution is the work of one digest in flight at one upstream.
type execution struct {
	digest   Digest
	upstream string
}

// Quarantiner judges requests. It is safe for concurrent use.
type Quarantiner struct {
	config Config

	mu      sync.Mutex
	records map[Digest]Record
	// inFlight holds the digests in flight at each upstream and how often.
	inFlight map[string]map[Digest]int
	// runningAt holds the upstream that runs a digest.
	runningAt map[Digest]string
	// attributed holds the runs that the crash of an upstream already attributed.
	attributed map[execution]int
	// permitHeld holds the digests that run here with a permit.
	permitHeld map[Digest]bool
}

// New returns a quarantiner that suspects nothing.
func New(c Config) *Quarantiner {
	return &Quarantiner{
		config:     c.withDefaults(),
		records:    make(map[Digest]Record),
		inFlight:   make(map[string]map[Digest]int),
		runningAt:  make(map[Digest]string),
		attributed: make(map[execution]int),

		permitHeld: make(map[Digest]bool),
	}
}

// Check returns how a request may run.
func (q *Quarantiner) Check(now time.Time, d Digest) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	record, ok := q.records[d]
	if !ok {
		return Clear
	}
	return q.verdict(now, &record)
}

func (q *Quarantiner) verdict(now time.Time, r *Record) Verdict {
	recent := now.Unix()-r.LastCrash <= int64(q.config.SuspicionPeriod.Seconds())
	switch {
	case len(r.CrashedUpstreams) >= q.config.MaxCrashes && (recent || r.ExclusiveCrashes > 0):
		return Quarantined
	case len(r.CrashedUpstreams) >= q.config.MaxCrashes:
		return Suspect
	case len(r.CrashedUpstreams) == 0 || r.Cleared:
		return Clear
	case recent || r.ExclusiveCrashes > 0:
		return Suspect
	}
	return Clear
}

// Running returns the upstream at which this daemon runs a digest now. Further
// runs of the digest go there too, so that they cannot crash a second upstream.
func (q *Quarantiner) RunningAt(d Digest) (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	upstream, ok := q.runningAt[d]
	return upstream, ok
}

// Begin notes that a request starts at an upstream.
func (q *Quarantiner) Begin(_ time.Time, d Digest, upstream string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight[upstream] == nil {
		q.inFlight[upstream] = make(map[Digest]int)
	}
	q.inFlight[upstream][d]++
	q.runningAt[d] = upstream
}

// End notes that a request ended at an upstream. A crash blames every request
// in flight there.
func (q *Quarantiner) End(now time.Time, d Digest, upstream string, crashed bool) {
	changed := q.end(now, d, upstream, crashed)
	for _, record := range changed {
		verdict := q.verdict(now, &record)
		q.logVerdict(&record, verdict, upstream)
		q.config.Publish(record.Digest, verdict)
	}
	if len(changed) > 0 {
		q.config.Broadcast(changed)
	}
}

func (q *Quarantiner) logVerdict(r *Record, v Verdict, upstream string) {
	code := recorder.RequestSuspected
	if v == Quarantined {
		code = recorder.RequestQuarantined
	}
	q.config.Recorder.Event(code, "digest", r.Digest, "upstream", upstream, "victims", len(r.CrashedUpstreams))
}

func (q *Quarantiner) end(now time.Time, d Digest, upstream string, crashed bool) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	digests := q.inFlight[upstream]
	var changed []Record
	if crashed {
		changed = q.attributeCrash(now, d, upstream, digests)
	}
	q.removeInFlight(d, upstream, digests)
	return changed
}

// attributeCrash counts one victim for each digest in flight at a crashed upstream. The
// other requests of the same crash end later and are not blamed a second time.
func (q *Quarantiner) attributeCrash(now time.Time, d Digest, upstream string, digests map[Digest]int) []Record {
	if ended := (execution{d, upstream}); q.attributed[ended] > 0 {
		q.attributed[ended]--
		if q.attributed[ended] == 0 {
			delete(q.attributed, ended)
		}
		return nil
	}
	var changed []Record
	for other, count := range digests {
		if other == d {
			count--
		}
		if count > 0 {
			q.attributed[execution{other, upstream}] += count
		}
		changed = append(changed, q.addCrash(now, other, upstream))
	}
	return changed
}

func (q *Quarantiner) addCrash(now time.Time, d Digest, upstream string) Record {
	record := q.records[d]
	crashed := slices.Clone(record.CrashedUpstreams)
	if q.permitHeld[d] && len(crashed) > 0 {
		crashed = crashed[:len(crashed)-1] // the permit charged it
	}
	record.Digest, record.Cleared = d, false
	record.CrashedUpstreams = append(crashed, upstream)
	record.LastCrash = now.Unix()
	q.put(now, record)
	return record
}

func (q *Quarantiner) removeInFlight(d Digest, upstream string, digests map[Digest]int) {
	digests[d]--
	if digests[d] > 0 {
		return
	}
	delete(digests, d)
	delete(q.attributed, execution{d, upstream})
	if q.runningAt[d] == upstream {
		delete(q.runningAt, d)
	}
	if len(digests) == 0 {
		delete(q.inFlight, upstream)
	}
}

// put stores a record and forgets the oldest suspects when there are too many.
func (q *Quarantiner) put(now time.Time, record Record) {
	q.records[record.Digest] = record
	if len(q.records) <= q.config.MaxRecords {
		return
	}
	for d, r := range q.records {
		if q.verdict(now, &r) == Clear {
			delete(q.records, d)
		}
	}
}

// setPermitHeld notes that a digest runs here with a setPermitHeld, or no longer does.
func (q *Quarantiner) setPermitHeld(d Digest, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if held {
		q.permitHeld[d] = true
		return
	}
	delete(q.permitHeld, d)
}

// Learn takes in records of other daemons and of the store.
func (q *Quarantiner) Merge(now time.Time, records []Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range records {
		q.put(now, merge(q.records[r.Digest], r))
	}
}

// merge joins two records of a digest. The newer version of the store's record
// wins, but victims that it does not know are added, unless it was lifted later.
func merge(a, b Record) Record {
	if a.Lifts > b.Lifts || a.Lifts == b.Lifts && a.Version > b.Version {
		a, b = b, a
	}
	if a.Lifts < b.Lifts {
		return b
	}
	before := len(b.CrashedUpstreams)
	b.CrashedUpstreams = mergeCrashes(b.CrashedUpstreams, a.CrashedUpstreams)
	if len(b.CrashedUpstreams) > before {
		b.Cleared = false
		b.LastCrash = max(a.LastCrash, b.LastCrash)
	}
	return b
}

// mergeCrashes adds the lost upstreams of b to a. An upstream that both have is
// the same crash, seen by two daemons. The charge of a permit in b has meanwhile
// become a victim in a or was given back.
func mergeCrashes(a, b []string) []string {
	merged := slices.Clone(a)
	for _, name := range b {
		if !strings.HasPrefix(name, permitPrefix) && count(merged, name) < count(b, name) {
			merged = append(merged, name)
		}
	}
	return merged
}

func count(list []string, name string) int {
	n := 0
	for _, other := range list {
		if other == name {
			n++
		}
	}
	return n
}

// Empty reports whether nothing is known of any digest.
func (q *Quarantiner) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records) == 0
}

// Records returns what is known, for other daemons and for operators.
func (q *Quarantiner) Records() []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]Record, 0, len(q.records))
	for _, r := range q.records {
		list = append(list, r)
	}
	return list
}

// Record returns what is known of one digest.
func (q *Quarantiner) Record(d Digest) (Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[d]
	return r, ok
}
