package quarantiner

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"laburnumline/recorder"
)

const (
	// refutationTime is how long after its first crash a part is not quarantined yet, so that
	// output of other requests can refute that the part is the cause. It covers the crash of
	// many upstreams at the same moment.
	refutationTime = 2 * time.Second
	// minRetestDelay is the time after the last crash from which one request of the fleet may
	// test a part that crashed MaxCrashes upstreams. It doubles with each further crash, up
	// to SuspicionPeriod.
	minRetestDelay = 10 * time.Second
	// maxCoincidences is the number of crashes of a part that may have another cause than the others: the upstream
	// crashed for a reason of its own. With one more, a part is no longer tested at once.
	maxCoincidences = 1
	// sameCrash is the time within which several reports of an upstream's crash are one crash.
	// Upstreams need longer to restart.
	sameCrash = time.Second
)

// OutputTime is the time from its first output after which a request has not crashed its
// upstream. A part crashes an upstream when the output begins.
const OutputTime = 200 * time.Millisecond

// crashTimes is when a daemon learned of the crashes of a part, by its monotonic clock.
type crashTimes struct {
	lifts int
	first time.Time
	// reached is when it learned of MaxCrashes crashes, or zero.
	reached time.Time
	last    map[string]time.Time // by upstream
}

// partMarker distinguishes the digests of parts from those of requests.
var partMarker = [8]byte{'p', 'a', 'r', 't'}

// PartDigest returns the digest of a prompt part.
func PartDigest(id uint64) Digest {
	var d Digest
	copy(d[:], partMarker[:])
	binary.BigEndian.PutUint64(d[len(partMarker):], id)
	return d
}

// partVerdict returns Quarantined for a part that crashed MaxCrashes upstreams without any
// output in between. After retestDelay without a crash, one request at a time may be executed
// with a permit; see verdictIn for requests that need not wait.
func (q *Quarantiner) partVerdict(now time.Time, r *Record) Verdict {
	if len(r.CrashedUpstreams) < q.config.MaxCrashes || !r.Confirmed && !q.refutationEnded(now, r.Digest) {
		return Clear
	}
	if now.Unix()-r.LastCrash <= int64(q.retestDelay(r).Seconds()) {
		return Quarantined
	}
	return Suspect
}

// refutationEnded reports whether output that refutes the crashes of a part would be known
// here by now.
func (q *Quarantiner) refutationEnded(now time.Time, d Digest) bool {
	t := q.crashTimes[d]
	if t == nil || t.reached.IsZero() {
		return false
	}
	delay := q.config.AnnouncementDelay()
	return now.Sub(t.first) >= refutationTime+delay && now.Sub(t.reached) >= delay
}

func (q *Quarantiner) retestDelay(r *Record) time.Duration {
	delay := minRetestDelay
	for n := q.config.MaxCrashes; n < len(r.CrashedUpstreams) && delay < q.config.SuspicionPeriod; n++ {
		delay *= 2
	}
	return min(delay, q.config.SuspicionPeriod)
}

// verdictIn returns the verdict on a part for a request with some parts. A quarantined part may be tested at once, with a
// permit, by a request that distinguishes it from another part. The lock is held.
func (q *Quarantiner) verdictIn(now time.Time, r *Record, parts []Digest) Verdict {
	verdict := q.verdict(now, r)
	if verdict == Quarantined && r.Part && q.distinguishes(r, parts) {
		return Suspect
	}
	return verdict
}

// verdictOn is verdictIn without the lock.
func (q *Quarantiner) verdictOn(now time.Time, r *Record, parts []Digest) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdictIn(now, r, parts)
}

// distinguishes reports whether a request with some parts lacks one that may have caused the crashes of a part in its
// place. If the request is served, the other one has caused them; if it crashes its upstream, the other one explains one crash less.
func (q *Quarantiner) distinguishes(r *Record, parts []Digest) bool {
	for d, other := range q.records {
		if other.Part && d != r.Digest && !slices.Contains(parts, d) && len(other.CrashedUpstreams) >= q.config.MaxCrashes &&
			unexplainedCrashes(r, &other) <= maxCoincidences {
			return true
		}
	}
	return false
}

// unexplainedCrashes returns the number of crashes of a part that are not attributed to another one as well.
func unexplainedCrashes(r, other *Record) int {
	n := 0
	for i, upstream := range r.CrashedUpstreams {
		before := count(r.CrashedUpstreams[:i], upstream)
		if !strings.HasPrefix(upstream, permitPrefix) && before >= count(other.CrashedUpstreams, upstream) {
			n++
		}
	}
	return n
}

// CheckParts returns the strictest verdict on the parts of a request, and the digest that it is
// about.
func (q *Quarantiner) CheckParts(now time.Time, parts []Digest) (Digest, Verdict) {
	worst, verdict := Digest{}, Clear
	for _, d := range parts {
		if v := q.checkPart(now, d, parts); v > verdict {
			worst, verdict = d, v
		}
	}
	return worst, verdict
}

// PeekParts returns what CheckParts would return, and announces nothing.
func (q *Quarantiner) PeekParts(now time.Time, parts []Digest) (Digest, Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	worst, verdict := Digest{}, Clear
	for _, d := range parts {
		if r, ok := q.records[d]; ok {
			if v := q.verdictIn(now, &r, parts); v > verdict {
				worst, verdict = d, v
			}
		}
	}
	return worst, verdict
}

// checkPart returns the verdict on a part of a request. The daemon that quarantines a part first announces it.
func (q *Quarantiner) checkPart(now time.Time, d Digest, parts []Digest) Verdict {
	q.mu.Lock()
	record, ok := q.records[d]
	if !ok {
		q.mu.Unlock()
		return Clear
	}
	verdict := q.verdictIn(now, &record, parts)
	first := verdict != Clear && !record.Confirmed
	if first {
		record.Confirmed = true
		q.put(now, record)
	}
	q.mu.Unlock()
	if first {
		q.announcePart(record)
	}
	return verdict
}

func (q *Quarantiner) announcePart(r Record) {
	q.config.Recorder.Event(recorder.PartQuarantined, "digest", r.Digest, "victims", len(r.CrashedUpstreams), "upstreams", r.CrashedUpstreams)
	q.config.StorePart(r.Digest)
	q.config.Broadcast([]Record{r})
}

// PartsCrashed attributes the crash of an upstream to the parts of a request that it executed
// and that had produced no output for OutputTime.
func (q *Quarantiner) PartsCrashed(now time.Time, parts []Digest, upstream string) {
	var changed []Record
	q.mu.Lock()
	for _, d := range parts {
		if t := q.crashTimes[d]; t != nil && now.Sub(t.last[upstream]) < sameCrash {
			continue
		}
		record := q.records[d]
		record.Part = true
		q.records[d] = record
		record = q.addCrash(now, d, upstream)
		q.recordCrashTimes(now, &record)
		q.crashTimes[d].last[upstream] = now
		changed = append(changed, record)
	}
	q.mu.Unlock()
	if len(changed) > 0 {
		q.config.Broadcast(changed)
	}
}

// recordCrashTimes records when the daemon learned of the crashes of a part.
func (q *Quarantiner) recordCrashTimes(now time.Time, r *Record) {
	if !r.Part {
		return
	}
	if len(r.CrashedUpstreams) == 0 {
		delete(q.crashTimes, r.Digest)
		return
	}
	t := q.crashTimes[r.Digest]
	if t == nil || t.lifts != r.Lifts {
		t = &crashTimes{lifts: r.Lifts, first: now, last: make(map[string]time.Time)}
		q.crashTimes[r.Digest] = t
	}
	if t.reached.IsZero() && len(r.CrashedUpstreams) >= q.config.MaxCrashes {
		t.reached = now
	}
	known := q.records[r.Digest].CrashedUpstreams
	for _, upstream := range r.CrashedUpstreams {
		if _, ok := t.last[upstream]; !ok || count(r.CrashedUpstreams, upstream) > count(known, upstream) {
			t.last[upstream] = now
		}
	}
}

// PartsServed records that a request has produced output for OutputTime, or completely. It
// refutes the crashes that were attributed to its parts.
func (q *Quarantiner) PartsServed(now time.Time, parts []Digest) {
	var changed []Record
	q.mu.Lock()
	for _, d := range parts {
		record := q.records[d]
		if len(record.CrashedUpstreams) == 0 {
			continue
		}
		q.discardCrashes(now, &record)
		changed = append(changed, record)
	}
	q.mu.Unlock()
	if len(changed) > 0 {
		q.config.Recorder.Count("quarantine.refuted", int64(len(changed)))
		go q.config.Broadcast(changed)
	}
}

// discardCrashes discards the crashes of a part. A quarantine that was announced is lifted.
func (q *Quarantiner) discardCrashes(now time.Time, r *Record) {
	announced := r.Confirmed
	*r = Record{Digest: r.Digest, Part: true, Version: r.Version, Lifts: r.Lifts + 1}
	q.recordCrashTimes(now, r)
	q.put(now, *r)
	if announced {
		q.config.Recorder.Event(recorder.PartCleared, "digest", r.Digest)
		q.config.StorePart(r.Digest)
	}
}
