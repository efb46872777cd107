package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const shared, crashing = 1, 2

func partDigests(ids ...uint64) []Digest {
	var list []Digest
	for _, id := range ids {
		list = append(list, PartDigest(id))
	}
	return list
}

// reportCrashes reports crashes of different upstreams at these times after start, with both parts.
func reportCrashes(q *Quarantiner, times ...time.Duration) {
	for i, at := range times {
		q.PartsCrashed(start.Add(at), partDigests(shared, crashing), fmt.Sprint("i-", i))
	}
}

// A part may only be blamed for crashes that no output refutes, that are not one crash seen
// several times, and that other requests had time to refute.
func TestVerdictOnParts(t *testing.T) {
	q := func() *Quarantiner { return New(Config{SuspicionPeriod: time.Minute}) }
	tests := []struct {
		name   string
		events func(q *Quarantiner)
		after  time.Duration
		want   Verdict
	}{
		{"two crashes", func(q *Quarantiner) { reportCrashes(q, 0, time.Second) }, 10 * time.Second, Clear},
		{"three crashes", func(q *Quarantiner) { reportCrashes(q, 0, time.Second, 2*time.Second) }, 3 * time.Second, Quarantined},
		{"three crashes at once", func(q *Quarantiner) { reportCrashes(q, 0, 0, 0) }, time.Second, Clear},
		{"three crashes at once, not refuted", func(q *Quarantiner) { reportCrashes(q, 0, 0, 0) }, 2 * time.Second, Quarantined},
		{"output after the second crash", func(q *Quarantiner) {
			reportCrashes(q, 0, time.Second)
			q.PartsServed(start.Add(1500*time.Millisecond), partDigests(crashing))
			q.PartsCrashed(start.Add(2*time.Second), partDigests(crashing), "i-2")
		}, 10 * time.Second, Clear},
		{"output while quarantined", func(q *Quarantiner) {
			reportCrashes(q, 0, time.Second, 2*time.Second)
			q.CheckParts(start.Add(3*time.Second), partDigests(shared, crashing))
			q.PartsServed(start.Add(4*time.Second), partDigests(shared, crashing))
		}, 5 * time.Second, Clear},
		{"one crash that three requests report", func(q *Quarantiner) {
			for range 3 {
				q.PartsCrashed(start, partDigests(crashing), "i-0")
			}
		}, 10 * time.Second, Clear},
		{"one upstream that crashes again and again", func(q *Quarantiner) {
			for i := range time.Duration(3) {
				q.PartsCrashed(start.Add(i*2*time.Second), partDigests(crashing), "i-0")
			}
		}, 10 * time.Second, Quarantined},
		{"shortly before a test is due", func(q *Quarantiner) { reportCrashes(q, 0, time.Second, 2*time.Second) }, 12 * time.Second, Quarantined},
		{"a test is due", func(q *Quarantiner) { reportCrashes(q, 0, time.Second, 2*time.Second) }, 13 * time.Second, Suspect},
		{"a test is due later after another crash", func(q *Quarantiner) {
			reportCrashes(q, 0, time.Second, 2*time.Second, 20*time.Second)
		}, 40 * time.Second, Quarantined},
		{"no crash for the suspicion period", func(q *Quarantiner) { reportCrashes(q, 0, 0, 0, 0, 0, 0, 0, 0) }, 61 * time.Second, Suspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := q()
			tt.events(q)
			_, verdict := q.CheckParts(start.Add(tt.after), partDigests(7, shared, crashing))
			require.Equal(t, tt.want, verdict)
			_, verdict = q.CheckParts(start.Add(tt.after), partDigests(7, 8))
			require.Equal(t, Clear, verdict)
		})
	}
}

// Output at another daemon becomes known only after a delay. A part must not be quarantined
// before, neither soon after its first crash nor soon after the last one.
func TestQuarantineWaitsForAnnouncements(t *testing.T) {
	const delay = time.Second
	q := New(Config{AnnouncementDelay: func() time.Duration { return delay }})
	reportCrashes(q, 0, 3*time.Second, 6*time.Second)
	require.Equal(t, Clear, q.checkPart(start.Add(6*time.Second+delay/2), PartDigest(crashing), nil))
	q.Merge(start.Add(6*time.Second+delay/2), []Record{{Digest: PartDigest(shared), Part: true, Lifts: 1}})
	require.Equal(t, Quarantined, q.checkPart(start.Add(6*time.Second+delay), PartDigest(crashing), nil))
	require.Equal(t, Clear, q.checkPart(start.Add(time.Minute), PartDigest(shared), nil))
}

// Each daemon sees only the crashes and the output of its own requests. Their records have to
// add up to a quarantine, and output at one daemon must end the suspicion at all.
func TestDaemonsCombineWhatTheyKnowOfParts(t *testing.T) {
	fleet := make([]*Quarantiner, 4)
	for i := range fleet {
		fleet[i] = New(Config{SuspicionPeriod: time.Minute, Broadcast: func(records []Record) {
			for j, other := range fleet {
				if j != i {
					other.Merge(start, records)
				}
			}
		}})
	}
	for i := range 3 {
		fleet[i].PartsCrashed(start, partDigests(shared, crashing), fmt.Sprint("i-", i))
	}
	done := make(chan struct{})
	broadcast := fleet[3].config.Broadcast
	fleet[3].config.Broadcast = func(records []Record) { broadcast(records); close(done) }
	fleet[3].PartsServed(start, partDigests(shared))
	<-done
	for _, q := range fleet {
		_, verdict := q.CheckParts(start.Add(3*time.Second), partDigests(crashing))
		require.Equal(t, Quarantined, verdict)
		_, verdict = q.CheckParts(start.Add(3*time.Second), partDigests(shared))
		require.Equal(t, Clear, verdict)
	}
}

// A quarantined part that was blamed wrongly gets one request of the fleet at a time, and is
// cleared in the store when that is served. If it crashes its upstream, the part stays
// quarantined.
func TestPermittedRequestDecidesOnThePart(t *testing.T) {
	for _, crash := range []bool{false, true} {
		t.Run(fmt.Sprint("crash ", crash), func(t *testing.T) {
			registries, _, now := newRegistries(2)
			a, b, part := registries[0], registries[1], PartDigest(crashing)
			a.Local.PartsCrashed(*now, []Digest{part}, "i-0")
			a.Local.PartsCrashed(*now, []Digest{part}, "i-1")
			a.Local.PartsCrashed(*now, []Digest{part}, "i-2")
			require.NoError(t, a.Report(t.Context(), part))
			*now = now.Add(defaultSuspicionPeriod + time.Minute)
			require.Equal(t, Suspect, a.Local.checkPart(*now, part, nil))
			permit, err := a.Permit(t.Context(), part)
			require.NoError(t, err)
			_, err = b.Permit(t.Context(), part)
			requireNotExecuted(t, err)
			if crash {
				a.Local.PartsCrashed(*now, []Digest{part}, "i-3")
			} else {
				a.Local.PartsServed(*now, []Digest{part})
			}
			require.NoError(t, permit.End(t.Context(), "i-3", crash))
			require.NoError(t, b.Load(t.Context()))
			want := Clear
			if crash {
				want = Quarantined
			}
			require.Equal(t, want, a.Local.checkPart(*now, part, nil))
			require.Equal(t, want, b.Local.checkPart(*now, part, nil))
		})
	}
}

// Two parts were always together when upstreams crashed, and only one of them is the cause. A request with one of them but not
// the other tells which, and must not be refused until the delay for a test of both has passed.
func TestRequestThatDistinguishesPartsIsTestedAtOnce(t *testing.T) {
	const other, third = 3, 4
	crash := func(q *Quarantiner, upstream string, ids ...uint64) {
		q.PartsCrashed(start.Add(2*time.Second), partDigests(ids...), upstream)
	}
	tests := []struct {
		name   string
		events func(q *Quarantiner)
		parts  []uint64
		want   Verdict
	}{
		{"both parts", func(*Quarantiner) {}, []uint64{shared, crashing}, Quarantined},
		{"both parts and another", func(*Quarantiner) {}, []uint64{shared, other, crashing}, Quarantined},
		{"the first one", func(*Quarantiner) {}, []uint64{shared, other}, Suspect},
		{"the second one", func(*Quarantiner) {}, []uint64{other, crashing}, Suspect},
		{"neither", func(*Quarantiner) {}, []uint64{other}, Clear},
		{"the first one was served", func(q *Quarantiner) { q.PartsServed(start.Add(3*time.Second), partDigests(shared)) }, []uint64{shared, other}, Clear},
		{"the other one was served", func(q *Quarantiner) { q.PartsServed(start.Add(3*time.Second), partDigests(shared)) }, []uint64{other, crashing}, Quarantined},
		{"one more crash, as by coincidence", func(q *Quarantiner) { crash(q, "i-9", shared) }, []uint64{shared, other}, Suspect},
		{"crashes in two tests", func(q *Quarantiner) { crash(q, "i-8", shared); crash(q, "i-9", shared) }, []uint64{shared, other}, Quarantined},
		{"crashes of the other one in two tests", func(q *Quarantiner) { crash(q, "i-8", shared); crash(q, "i-9", shared) }, []uint64{other, crashing}, Suspect},
		{"a third part in some of the crashes does not acquit the cause", func(q *Quarantiner) {
			q.PartsServed(start.Add(2*time.Second), partDigests(shared))
			for i := range 3 {
				crash(q, fmt.Sprint("i-", 5+i), third, crashing)
			}
		}, []uint64{shared, crashing}, Quarantined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Config{SuspicionPeriod: time.Minute})
			reportCrashes(q, 0, time.Second, 2*time.Second)
			tt.events(q)
			_, verdict := q.PeekParts(start.Add(5*time.Second), partDigests(tt.parts...))
			require.Equal(t, tt.want, verdict)
			_, verdict = q.CheckParts(start.Add(5*time.Second), partDigests(tt.parts...))
			require.Equal(t, tt.want, verdict)
		})
	}
}

// A daemon that has not learned yet that a part was cleared asks for a permit. It must not make all requests with
// the part wait for each other.
func TestClearedPartNeedsNoPermit(t *testing.T) {
	registries, _, now := newRegistries(2)
	a, b := registries[0], registries[1]
	for _, r := range registries {
		for i := range 3 {
			r.Local.PartsCrashed(*now, partDigests(shared, crashing), fmt.Sprint("i-", i))
		}
	}
	*now = now.Add(4 * time.Second)
	parts := partDigests(shared)
	require.Equal(t, Suspect, a.Local.checkPart(*now, parts[0], parts))
	permit, err := a.Permit(t.Context(), parts[0], parts...)
	require.NoError(t, err)
	_, err = b.Permit(t.Context(), parts[0], parts...)
	requireNotExecuted(t, err)
	a.Local.PartsServed(*now, parts)
	require.NoError(t, permit.End(t.Context(), "i-9", false))
	require.Equal(t, Suspect, b.Local.checkPart(*now, parts[0], parts))
	for range 2 {
		permit, err = b.Permit(t.Context(), parts[0], parts...)
		require.NoError(t, err)
		require.Nil(t, permit)
	}
	require.Equal(t, Clear, b.Local.checkPart(*now, parts[0], parts))
}
