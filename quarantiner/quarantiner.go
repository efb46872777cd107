// Package quarantiner blocks requests and prompt parts that crash upstreams.
//
// A request is identified by the digest of its content, which a new idempotency key does
// not change. When an upstream crashes, the crash is attributed to every request in flight
// there, and each becomes a suspect. A daemon needs a permit to execute a suspect, and
// the fleet grants one permit per suspect at a time. After one crash, a suspect is kept
// apart from other suspects. After more crashes, it is executed exclusively, on an
// upstream without other work. A suspect is cleared when an execution with a permit
// succeeds. If another crash is attributed to it within SuspicionPeriod, it stays a
// suspect until SuspicionPeriod has passed without a crash.
//
// After MaxCrashes crashes the request is quarantined: no daemon executes it until an
// operator lifts the quarantine. Other requests may have caused all of these crashes,
// unless the request was executed exclusively in one of them. If it never was, it may be
// executed exclusively once SuspicionPeriod has passed, so that harmless requests are not
// refused forever.
//
// A permit is written to the store by compare-and-swap and charges a crash before the
// execution. An execution whose daemon dies or whose response is lost thus counts as a
// crash, and the limit for suspects does not depend on messages or clocks. A crash is
// broadcast to all daemons before the caller gets a response. Within SuspicionPeriod a
// request therefore crashes at most MaxCrashes upstreams, or, if more upstreams were
// executing it at its first crash, that many, plus one for each daemon that the broadcast
// did not reach. It is at most one per daemon because a daemon executes equal requests at
// the same upstream; see RunningAt.
//
// Requests that are all different may share a prompt part that crashes upstreams. A part has
// a record as a request has, with other rules, because sound requests share most parts: a
// crash is attributed to the parts of all requests that had produced no output there, and any
// output refutes all crashes that were attributed to the parts of its request. Parts that are always together
// when upstreams crash are quarantined together, although only one of them is the cause. A request that holds
// some of them but not all tells them apart, so it gets a permit at once. See part.go.
//
// Quarantiner is the state of one daemon and does no I/O. Registry accesses the store, and
// Broadcaster sends crashes to the other daemons.
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

// Verdict is how a request may be executed.
type Verdict uint8

const (
	// Clear means that the request may be executed beside others.
	Clear Verdict = iota
	// Suspect means that the request may only be executed with a permit.
	Suspect
	// Quarantined means that the request may not be executed.
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

// Record is the state of one digest in the store and in each daemon.
type Record struct {
	Digest Digest `cbor:"1,keyasint"`
	// CrashedUpstreams are the upstreams that crashed while they executed the request, one
	// entry per crash. While a permit is held, one entry is the crash that it charges.
	CrashedUpstreams []string `cbor:"2,keyasint,omitempty"`
	// Version increases with each change of the record in the store. Zero means that the
	// record is not in the store yet.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// ExclusiveCrashes is the number of crashes of upstreams that executed nothing else.
	ExclusiveCrashes int `cbor:"4,keyasint,omitempty"`
	// Cleared is true when the request may be executed beside others again.
	Cleared bool `cbor:"5,keyasint,omitempty"`
	// PermittedSuccesses is the number of executions with a permit that did not crash.
	PermittedSuccesses int `cbor:"6,keyasint,omitempty"`
	// LastCrash is the time of the last crash in seconds since the Unix epoch.
	LastCrash int64 `cbor:"7,keyasint,omitempty"`
	// PermitHolder is the incarnation of a daemon that holds the permit, or empty.
	PermitHolder string `cbor:"8,keyasint,omitempty"`
	// PermitGranted is when the permit was granted, in seconds since the Unix epoch.
	PermitGranted int64 `cbor:"9,keyasint,omitempty"`
	// Lifts is the number of times that the crashes were discarded: by an operator who lifted
	// the quarantine, or for a part by output of a request.
	Lifts int `cbor:"10,keyasint,omitempty"`
	// Part is true for a prompt part, and false for a request.
	Part bool `cbor:"11,keyasint,omitempty"`
	// Confirmed is true for a part that a daemon has quarantined.
	Confirmed bool `cbor:"12,keyasint,omitempty"`
}

// Config holds the settings of a Quarantiner. Zero values mean the defaults.
type Config struct {
	// Publish announces a changed verdict to the other daemons. End returns after Publish,
	// so that a caller that gets its response after End cannot retry before they know.
	Publish func(Digest, Verdict)
	// StorePart stores the record of a part that is quarantined or no longer quarantined. It
	// returns at once.
	StorePart func(Digest)
	// Broadcast sends the records of one crash to the other daemons. End returns after
	// Broadcast; see Broadcaster.
	Broadcast func([]Record)
	// MaxCrashes is the number of crashes after which a request is quarantined.
	MaxCrashes int
	// SuspicionPeriod is how long a request stays a suspect without a further crash.
	SuspicionPeriod time.Duration
	// AnnouncementDelay returns how long it takes until other daemons learn what one
	// broadcasts. Nil means no time.
	AnnouncementDelay func() time.Duration
	// MaxRecords is the number of records above which those with verdict Clear are dropped.
	MaxRecords int
	// Recorder counts verdicts. Nil discards them.
	Recorder *recorder.Recorder
}

// permitPrefix begins the entry that a permit adds to CrashedUpstreams until it ends.
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
	if c.StorePart == nil {
		c.StorePart = func(Digest) {}
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
	if c.AnnouncementDelay == nil {
		c.AnnouncementDelay = func() time.Duration { return 0 }
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = defaultMaxRecords
	}
	return c
}

// execution identifies the requests with one digest in flight at one upstream.
type execution struct {
	digest   Digest
	upstream string
}

// Quarantiner decides how requests may be executed. It is safe for concurrent use.
type Quarantiner struct {
	config Config

	mu      sync.Mutex
	records map[Digest]Record
	// inFlight counts the requests in flight by upstream and digest.
	inFlight map[string]map[Digest]int
	// runningAt holds the upstream that executes a digest.
	runningAt map[Digest]string
	// attributed counts the executions that have not ended yet and whose crash is already
	// attributed.
	attributed map[execution]int
	// permitHeld holds the digests that this daemon executes with a permit.
	permitHeld map[Digest]bool
	// crashTimes holds when this daemon learned of the crashes of parts.
	crashTimes map[Digest]*crashTimes
}

// New returns a quarantiner without records.
func New(c Config) *Quarantiner {
	return &Quarantiner{
		config:     c.withDefaults(),
		records:    make(map[Digest]Record),
		inFlight:   make(map[string]map[Digest]int),
		runningAt:  make(map[Digest]string),
		attributed: make(map[execution]int),

		permitHeld: make(map[Digest]bool),
		crashTimes: make(map[Digest]*crashTimes),
	}
}

// Check returns how a request may be executed.
func (q *Quarantiner) Check(now time.Time, d Digest) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	record, ok := q.records[d]
	if !ok {
		return Clear
	}
	return q.verdict(now, &record)
}

// WasQuarantined reports whether a request has crashed enough upstreams to be quarantined. Once it is a suspect again, it
// needs a permit to be executed.
func (q *Quarantiner) WasQuarantined(d Digest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records[d].CrashedUpstreams) >= q.config.MaxCrashes
}

func (q *Quarantiner) verdict(now time.Time, r *Record) Verdict {
	recent := now.Unix()-r.LastCrash <= int64(q.config.SuspicionPeriod.Seconds())
	switch {
	case r.Part:
		return q.partVerdict(now, r)
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

// RunningAt returns the upstream at which this daemon currently executes a digest. Further
// requests with the digest are sent there too, so that they cannot crash a second upstream.
func (q *Quarantiner) RunningAt(d Digest) (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	upstream, ok := q.runningAt[d]
	return upstream, ok
}

// Begin records that a request is sent to an upstream.
func (q *Quarantiner) Begin(_ time.Time, d Digest, upstream string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight[upstream] == nil {
		q.inFlight[upstream] = make(map[Digest]int)
	}
	q.inFlight[upstream][d]++
	q.runningAt[d] = upstream
}

// End records that a request ended at an upstream. A crash is attributed to every request
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

// attributeCrash counts one crash for each digest in flight at a crashed upstream. The other
// requests in flight there end later, and the crash is not attributed to them again.
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
		crashed = crashed[:len(crashed)-1] // replaces the charge of the permit
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

// put stores a record. If there are more than MaxRecords, it drops those with verdict Clear.
func (q *Quarantiner) put(now time.Time, record Record) {
	q.records[record.Digest] = record
	if len(q.records) <= q.config.MaxRecords {
		return
	}
	for d, r := range q.records {
		if q.verdict(now, &r) == Clear {
			delete(q.records, d)
			delete(q.crashTimes, d)
		}
	}
}

// setPermitHeld records whether this daemon executes a digest with a permit.
func (q *Quarantiner) setPermitHeld(d Digest, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if held {
		q.permitHeld[d] = true
		return
	}
	delete(q.permitHeld, d)
}

// Merge adds records of other daemons and of the store.
func (q *Quarantiner) Merge(now time.Time, records []Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range records {
		merged := merge(q.records[r.Digest], r)
		q.recordCrashTimes(now, &merged)
		q.put(now, merged)
	}
}

// merge merges two records of a digest. The one with more lifts wins. With equal lifts, the
// one with the higher version wins, and the crashes that it lacks are added to it.
func merge(a, b Record) Record {
	if a.Lifts > b.Lifts || a.Lifts == b.Lifts && a.Version > b.Version {
		a, b = b, a
	}
	if a.Lifts < b.Lifts {
		return b
	}
	b.Part, b.Confirmed = a.Part || b.Part, a.Confirmed || b.Confirmed
	before := len(b.CrashedUpstreams)
	b.CrashedUpstreams = mergeCrashes(b.CrashedUpstreams, a.CrashedUpstreams)
	if len(b.CrashedUpstreams) > before {
		b.Cleared = false
		b.LastCrash = max(a.LastCrash, b.LastCrash)
	}
	return b
}

// mergeCrashes adds the crashes of b to those of a. An upstream in both is one crash that two
// daemons have seen. The charge of a permit in b is left out: in a it has since become a crash
// or been removed.
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

// Empty reports whether there are no records.
func (q *Quarantiner) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records) == 0
}

// Records returns all records, for other daemons and for operators.
func (q *Quarantiner) Records() []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]Record, 0, len(q.records))
	for _, r := range q.records {
		list = append(list, r)
	}
	return list
}

// Record returns the record of a digest.
func (q *Quarantiner) Record(d Digest) (Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[d]
	return r, ok
}
