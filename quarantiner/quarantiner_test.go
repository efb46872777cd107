package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func digest(n int) Digest { return DigestOf(fmt.Appendf(nil, "request %d", n)) }

func ExampleQuarantiner() {
	q := New(Config{})
	now := time.Now()
	crashing := DigestOf([]byte(`{"model":"quote-model","prompt":"mesh"}`))
	q.Begin(now, crashing, "runner-1")
	q.End(now, crashing, "runner-1", true)
	again := DigestOf([]byte(`{"prompt": "mesh", "model": "quote-model", "stream": true}`))
	fmt.Println(q.Check(now, again))
	// Output:
	// suspect
}

// An upstream crashes with several requests in flight, and each of them reports the crash.
// All become suspects, but with one crash each, and only those at that upstream.
func TestCrashIsAttributedOnceToAllInFlight(t *testing.T) {
	q := New(Config{})
	for i := range 3 {
		q.Begin(start, digest(i), "runner-1")
	}
	q.Begin(start, digest(0), "runner-1")
	q.Begin(start, digest(3), "runner-2")
	for _, i := range []int{0, 1, 2, 0} {
		q.End(start, digest(i), "runner-1", true)
	}
	for i := range 3 {
		record, ok := q.Record(digest(i))
		require.True(t, ok)
		require.Equal(t, []string{"runner-1"}, record.CrashedUpstreams)
		require.Equal(t, Suspect, q.Check(start, digest(i)))
	}
	require.Equal(t, Clear, q.Check(start, digest(3)))
	_, running := q.RunningAt(digest(0))
	require.False(t, running)
	require.Equal(t, Clear, q.Check(start.Add(defaultSuspicionPeriod+time.Second), digest(1)))
}

// If End returned before the verdict is published, the caller's retry could reach a daemon
// that does not know of the crash yet.
func TestVerdictIsPublishedBeforeEndReturns(t *testing.T) {
	var published []Verdict
	q := New(Config{Publish: func(_ Digest, v Verdict) { published = append(published, v) }})
	for i := range 3 {
		upstream := fmt.Sprint("runner-", i)
		q.Begin(start, digest(0), upstream)
		q.End(start, digest(0), upstream, true)
	}
	require.Equal(t, []Verdict{Suspect, Suspect, Quarantined}, published)
}

// Records of one digest arrive from daemons and from the store in any order. A crash must
// not count twice or get lost, and a late record must not undo a success or a lift.
func TestMerge(t *testing.T) {
	tests := []struct {
		name string
		have []Record
		want Verdict
	}{
		{"one crash", []Record{{CrashedUpstreams: []string{"a"}}}, Suspect},
		{"same crash seen by two daemons", []Record{{CrashedUpstreams: []string{"a"}}, {CrashedUpstreams: []string{"a"}}}, Suspect},
		{"three crashes", []Record{{CrashedUpstreams: []string{"a", "b"}}, {CrashedUpstreams: []string{"c"}}}, Quarantined},
		{"cleared in the store", []Record{{CrashedUpstreams: []string{"a"}}, {Version: 2, CrashedUpstreams: []string{"a"}, Cleared: true}}, Clear},
		{"late record after the request was cleared", []Record{{Version: 2, CrashedUpstreams: []string{"a"}, Cleared: true}, {CrashedUpstreams: []string{"a"}}}, Clear},
		{"crash after the request was cleared", []Record{{Version: 2, CrashedUpstreams: []string{"a"}, Cleared: true}, {CrashedUpstreams: []string{"b"}}}, Suspect},
		{"lifted", []Record{{Version: 4, CrashedUpstreams: []string{"a", "b", "c"}}, {Version: 5, Lifts: 1}}, Clear},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Config{})
			for _, r := range tt.have {
				r.Digest, r.LastCrash = digest(1), start.Unix()
				q.Merge(start, []Record{r})
			}
			require.Equal(t, tt.want, q.Check(start, digest(1)))
		})
	}
}

// A caller that reorders fields or changes fields that the engine ignores must not evade
// the quarantine. Other content must not be quarantined with it.
func TestDigestOf(t *testing.T) {
	base := DigestOf([]byte(`{"a":1,"b":"x"}`))
	tests := []struct {
		name string
		body string
		same bool
	}{
		{"order of fields and white space", `{ "b": "x", "a": 1 }`, true},
		{"ignored fields", `{"a":1,"b":"x","stream":true,"user":"p","seed":7}`, true},
		{"other content", `{"a":2,"b":"x"}`, false},
		{"no JSON", `a=1`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.same, DigestOf([]byte(tt.body)) == base)
		})
	}
	parsed, err := ParseDigest(base.String())
	require.NoError(t, err)
	require.Equal(t, base, parsed)
	_, err = ParseDigest("beef")
	require.Error(t, err)
}
