package tracker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestView returns the view of a-00 in a zone of size members.
func newTestView(size int) *view {
	c := Config{Self: newPeer("a", 0, 1)}
	c.setDefaults()
	v := newView(&c, start)
	for i := 1; i < size; i++ {
		v.merge([]Record{{Peer: newPeer("a", i, 1)}}, start)
	}
	return v
}

// Guards against views that never converge because daemons receive the same records in
// different orders.
func TestRecordMergeIsOrderIndependent(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Peer:     newPeer("a", 1, contractor.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))),
			Sequence: uint32(rapid.IntRange(0, 2).Draw(t, "sequence")),
			State:    State(rapid.IntRange(0, int(Unreachable)).Draw(t, "state")),
			Leaving:  rapid.Bool().Draw(t, "leaving"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := record.Draw(t, "a"), record.Draw(t, "b"), record.Draw(t, "c")
		if a.merge(b) != b.merge(a) {
			t.Fatalf("merging %v and %v depends on their order", a, b)
		}
		if a.merge(b).merge(c) != a.merge(b.merge(c)) || a.merge(a) != a {
			t.Fatalf("merging %v, %v and %v depends on their grouping, or merging the first with itself changes it", a, b, c)
		}
	})
}

// Guards against digests that differ for equal views, which causes endless exchanges,
// and against equal digests of different views, which hide a change.
func TestEqualRecordsHaveEqualDigests(t *testing.T) {
	a, b := newTestView(5), newTestView(5)
	require.Equal(t, a.digest(), b.digest())
	suspect := Record{Peer: newPeer("a", 2, 1), State: Suspect}
	a.merge([]Record{suspect}, start)
	require.NotEqual(t, a.digest(), b.digest())
	b.merge([]Record{suspect}, start)
	require.Equal(t, a.digest(), b.digest())
	a.merge([]Record{{Peer: newPeer("a", 2, 1), Sequence: 1}}, start)
	a.merge([]Record{suspect}, start)
	require.Equal(t, Alive, a.members["a-02"].State)

	unreachable := Record{Peer: newPeer("a", 3, 1), State: Unreachable}
	a.merge([]Record{unreachable}, start)
	response := a.syncResponse(b.copyDigests())
	b.merge(response.Records, start)
	require.Equal(t, a.digest(), b.digest())
	require.Empty(t, b.differingDigests(a.copyDigests()))
}

// Guards against members without a VM or a zone, or in a state that records cannot
// have, after a faulty daemon has sent such a record.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	v := newTestView(1)
	v.merge([]Record{
		{},
		{Peer: messenger.Peer{VM: "x"}},
		{Peer: newPeer("a", 7, 1), State: Gone},
	}, start)
	require.Len(t, v.members, 1)
}

// Guards against the removal of a live daemon whose refutation loses against the
// suspicion, and against a second refutation of the same suspicion.
func TestSuspicionOfSelfIsRefuted(t *testing.T) {
	v := newTestView(2)
	self := v.self.Record
	self.Sequence, self.State = 4, Unreachable
	v.merge([]Record{self}, start)
	require.EqualValues(t, 5, v.self.Sequence)
	require.Equal(t, Alive, v.self.State)
	require.Equal(t, []Record{v.self.Record}, v.toBroadcast)
	v.toBroadcast = nil
	v.merge([]Record{self}, start)
	require.Empty(t, v.toBroadcast)
}

// Guards against the removal of a suspect whose refutation this daemon has not read
// because it was paused itself.
func TestPauseExtendsSuspicions(t *testing.T) {
	tests := []struct {
		name  string
		gap   time.Duration
		state State
	}{
		{"no pause", 0, Unreachable},
		{"paused for a minute", time.Minute, Suspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newTestView(4)
			v.suspect(v.members["a-01"].Record, start, start)
			v.tick(start.Add(v.config.ProbePeriod))
			now := start.Add(v.config.SuspicionTimeout + tt.gap)
			v.expireSuspicions(now)
			require.Equal(t, tt.state, v.members["a-01"].State)
			v.expireSuspicions(now.Add(v.config.SuspicionTimeout))
			require.Equal(t, Unreachable, v.members["a-01"].State)
		})
	}
}

// Guards against the suspicion of a restarted daemon by a probe that was sent to its
// previous incarnation.
func TestSuspicionOfOutdatedRecordIsIgnored(t *testing.T) {
	v := newTestView(2)
	old := v.members["a-01"].Record
	v.merge([]Record{{Peer: newPeer("a", 1, 2)}}, start)
	v.suspect(old, start, start)
	require.Equal(t, Alive, v.members["a-01"].State)
}

// Guards against false suspicions by an overloaded daemon: if its own probes or rounds
// are late, a missing response says nothing about the member.
func TestSlowDaemonSuspectsNobody(t *testing.T) {
	v := newTestView(3)
	r := v.members["a-01"].Record
	v.suspect(r, start, start.Add(time.Second))
	require.Equal(t, Alive, v.members["a-01"].State, "its own probe took too long")
	v.tick(start.Add(2 * v.config.ProbePeriod))
	now := start.Add(2*v.config.ProbePeriod + 1)
	v.suspect(r, now, now)
	require.Equal(t, Alive, v.members["a-01"].State, "its round came late")
	now = now.Add(v.config.ProbePeriod)
	v.tick(now)
	v.suspect(r, now, now)
	require.Equal(t, Suspect, v.members["a-01"].State)
	require.EqualValues(t, 2, v.suppressedSuspicions)
}

// Guards against a member that no neighbour probes because daemons order the ring
// differently: its failure would go unnoticed.
func TestEveryMemberIsProbedByTwoNeighbours(t *testing.T) {
	const size = 12
	probeCounts := make(map[contractor.VM]int)
	for self := range size {
		c := Config{Self: newPeer("a", self, 1)}
		c.setDefaults()
		v := newView(&c, start)
		for i := range size {
			v.merge([]Record{{Peer: newPeer("a", i, 1)}}, start)
		}
		for round := 1; round <= 2; round++ {
			probes := v.tick(start.Add(time.Duration(round) * c.ProbePeriod))
			probeCounts[probes[0].record.Peer.VM]++
		}
	}
	require.Len(t, probeCounts, size)
	for vm, n := range probeCounts {
		require.Equal(t, ringNeighbours, n, vm)
	}
}

// Guards against a membership change that moves accounts between daemons that are not
// concerned, and against an uneven distribution of the accounts.
func TestMembershipChangeMovesOnlyItsOwnAccounts(t *testing.T) {
	const size, accounts = 50, 20_000
	v := newTestView(size)
	keepers := func() []contractor.VM {
		z := v.directory().zones["a"]
		var list []contractor.VM
		for i := range accounts {
			keeper, ok := z.keeper(contractor.Account(fmt.Sprintf("account-%d", i)))
			require.True(t, ok)
			list = append(list, keeper.VM)
		}
		return list
	}
	before := keepers()
	counts := make(map[contractor.VM]int)
	for _, vm := range before {
		counts[vm]++
	}
	for vm, n := range counts {
		require.InDelta(t, accounts/size, n, 0.25*accounts/size, vm)
	}

	v.merge([]Record{{Peer: newPeer("a", 10, 1), State: Unreachable}}, start)
	afterLoss := keepers()
	for i := range before {
		if before[i] != "a-10" {
			require.Equal(t, before[i], afterLoss[i])
		}
	}
	v.merge([]Record{{Peer: newPeer("a", 99, 1)}}, start)
	afterJoin := keepers()
	for i := range afterLoss {
		if afterJoin[i] != "a-99" {
			require.Equal(t, afterLoss[i], afterJoin[i])
		}
	}
	v.merge([]Record{{Peer: newPeer("a", 99, 1), State: Unreachable}, {Peer: newPeer("a", 10, 2)}}, start)
	require.Equal(t, before, keepers())
	_, ok := v.directory().zones["none"].keeper("x")
	require.False(t, ok)
}

// Guards against steady probes of VMs that run no daemon because the backoff does not
// grow, and against VMs that are never probed again.
func TestUnansweredVMsAreProbedRarely(t *testing.T) {
	v := newTestView(2)
	var list []ListedVM
	for i := range 100 {
		p := newPeer("a", 100+i, 0)
		list = append(list, ListedVM{VM: p.VM, Zone: p.Zone, Address: p.Address})
	}
	list = append(list, ListedVM{VM: "no-address"})
	require.Empty(t, v.applyList(list, start))
	attempts := 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(v.config.ProbePeriod) {
		for _, p := range v.tick(now) {
			if p.purpose == probeCandidate {
				attempts++
			}
		}
	}
	require.Less(t, attempts, 100*20)
	require.Greater(t, attempts, 100)
}

// Guards against added candidates that wait behind the VMs of a long list, most of
// which run no daemon.
func TestLoneDaemonProbesAddedCandidatesFirst(t *testing.T) {
	v := newTestView(1)
	var list []ListedVM
	for i := range 100 {
		p := newPeer("a", 100+i, 0)
		list = append(list, ListedVM{VM: p.VM, Zone: p.Zone, Address: p.Address})
	}
	v.applyList(list, start)
	v.prioritizeCandidate(newPeer("z", 9, 1), start)
	v.prioritizeCandidate(newPeer("a", 150, 1), start)
	probes := v.tick(start)
	require.Len(t, probes, joinAttempts)
	require.Equal(t, contractor.VM("a-150"), probes[0].record.Peer.VM)
	require.Equal(t, contractor.VM("z-09"), probes[1].record.Peer.VM)
}

// Guards against probes of live members as candidates, and against an unreachable
// member that is never probed again.
func TestMembersAreNoCandidates(t *testing.T) {
	v := newTestView(1)
	p := newPeer("a", 1, 1)
	v.applyList([]ListedVM{{VM: p.VM, Zone: p.Zone, Address: p.Address}}, start)
	require.Len(t, v.plan.candidates, 1)
	v.merge([]Record{{Peer: p}}, start)
	require.Empty(t, v.plan.candidates)
	v.merge([]Record{{Peer: p, State: Unreachable}}, start)
	require.Len(t, v.plan.candidates, 1)
}

// Guards against a wrong time for which a VM has been missing: it decides when a daemon
// is gone. Removed VMs are forgotten after removedRetention.
func TestVMListHistory(t *testing.T) {
	var history vmListHistory
	require.Zero(t, history.missingFor("x"))
	history.update([]ListedVM{{VM: "a"}, {VM: "b", Leaving: true}}, start)
	history.update([]ListedVM{{VM: "a"}}, start.Add(time.Minute))
	history.update([]ListedVM{{VM: "a"}}, start.Add(3*time.Minute))
	for _, tt := range []struct {
		vm         contractor.VM
		state      VMState
		missingFor time.Duration
	}{
		{"a", VMLive, 0},
		{"b", VMRemoved, 2 * time.Minute},
		{"c", VMUnknown, 3 * time.Minute},
	} {
		require.Equal(t, tt.state, history.state(tt.vm), tt.vm)
		require.Equal(t, tt.missingFor, history.missingFor(tt.vm), tt.vm)
	}
	history.update([]ListedVM{{VM: "b", Leaving: true}}, start.Add(4*time.Minute))
	require.Equal(t, VMLeaving, history.state("b"))
	require.Zero(t, history.missingFor("b"))
	history.update([]ListedVM{{VM: "b"}}, start.Add(48*time.Hour))
	require.Equal(t, VMUnknown, history.state("a"))
}

func newHTTPLister(t *testing.T, handler http.HandlerFunc) *HTTPLister {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	require.NoError(t, err)
	t.Cleanup(server.Client().CloseIdleConnections)
	return &HTTPLister{URL: base, Client: server.Client(), Port: 7443}
}

// Guards against a transfer of the whole list at each read although its ETag is
// unchanged.
func TestHTTPListerSkipsUnchangedList(t *testing.T) {
	fullResponses := 0
	l := newHTTPLister(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == `"1"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullResponses++
		w.Header().Set("ETag", `"1"`)
		fmt.Fprint(w, `{"vms":[{"vm":"a","zone":"z","address":"10.0.0.1","state":"live"},
			{"vm":"b","zone":"z","address":"10.0.0.2:99","state":"leaving"},{"vm":"c","zone":"z","state":"live"}]}`)
	})
	want := []ListedVM{
		{VM: "a", Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:7443")},
		{VM: "b", Zone: "z", Address: netip.MustParseAddrPort("10.0.0.2:99"), Leaving: true},
		{VM: "c", Zone: "z"},
	}
	for range 3 {
		list, err := l.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, want, list)
	}
	require.Equal(t, 1, fullResponses)
}

// Guards against a malformed list or an error response that is taken for a list without
// VMs: all other daemons would seem to be removed.
func TestHTTPListerRejectsBadLists(t *testing.T) {
	tests := []struct{ body, message string }{
		{`{`, "unexpected end"},
		{`{}`, `field "vms" is missing`},
		{`{"vms":[{"vm":"a","state":"dead"}]}`, `VM "a": state is "dead", allowed: live or leaving`},
		{`{"vms":[{"vm":"a","state":"live","address":"host"}]}`, `address is "host"`},
	}
	for _, tt := range tests {
		l := newHTTPLister(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, tt.body) })
		_, err := l.List(t.Context())
		require.ErrorContains(t, err, tt.message)
		require.ErrorContains(t, err, l.URL.String())
	}
	l := newHTTPLister(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	_, err := l.List(t.Context())
	require.ErrorContains(t, err, "502")
}
