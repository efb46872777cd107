package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/framer"
	"laburnumline/persister"
	"laburnumline/quarantiner"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/retrier"
	"laburnumline/throttler"
)

const (
	prefillTime   = 100 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	crashDowntime = 4 * time.Second
	// crashBody is the body of requests that crash upstreams, and crashPart the prompt part
	// that they share.
	crashBody = "crash"
	crashPart = 666
)

// memoryStore is an in-memory store with the methods that quarantiner.Registry uses.
type memoryStore struct {
	persister.Store
	mu       sync.Mutex
	entries  map[string]persister.Entry
	revision contractor.Revision
}

func (s *memoryStore) Get(_ context.Context, key string) (persister.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], nil
}

func (s *memoryStore) Commit(_ context.Context, txn persister.Txn) (contractor.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Compares {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, persister.ErrConflict
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.entries[p.Key] = persister.Entry{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	return s.revision, nil
}

// crashFleet is a fleet of forwarders whose quarantines exchange their records, in front of
// upstreams that crash when they start to answer a request with crashBody. A crash breaks
// everything that runs there.
type crashFleet struct {
	*fakeUpstreams
	forwarders  []*Forwarder
	quarantines []*quarantiner.Quarantiner
	// noticeDelay is the time until the other daemons learn what one announces.
	noticeDelay time.Duration

	mu        sync.Mutex
	crashed   map[netip.AddrPort]chan struct{} // closed when the upstream crashes
	downUntil map[netip.AddrPort]time.Time
	crashes   []time.Time
	sent      []time.Time // requests that crash upstreams, when they reached one
	statuses  map[int]int // of all other requests
	aborted   int         // other requests whose stream broke off
	// blamed counts other requests that were refused because they crash upstreams.
	blamed int
	// sentIDs holds the IDs of all requests that reached an upstream, and falselyRefused counts
	// those of them that were refused as not executed.
	sentIDs        map[string]bool
	falselyRefused int
	// sound are all other requests.
	sound []soundRequest
}

// soundRequest is a request that does not crash upstreams.
type soundRequest struct {
	at    time.Time
	begun bool // its stream has begun
}

func newCrashFleet(t *testing.T, daemons, upstreams int, noticeDelay time.Duration) *crashFleet {
	f := &crashFleet{
		noticeDelay: noticeDelay, fakeUpstreams: newFakeUpstreams(t), statuses: make(map[int]int), sentIDs: make(map[string]bool),
		crashed: make(map[netip.AddrPort]chan struct{}), downUntil: make(map[netip.AddrPort]time.Time),
	}
	f.list = nil
	for i := range upstreams {
		u := registrar.Upstream{
			Name: registrar.Name(fmt.Sprint("i-", i)), Service: "drafts",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		}
		f.list = append(f.list, u)
		f.crashed[u.Address] = make(chan struct{})
	}
	store := &memoryStore{entries: make(map[string]persister.Entry)}
	for i := range daemons {
		registry := &quarantiner.Registry{Store: store, Incarnation: fmt.Sprint(i), PermitTimeout: time.Minute}
		q := quarantiner.New(quarantiner.Config{
			MaxCrashes: 3, SuspicionPeriod: time.Minute, AnnouncementDelay: func() time.Duration { return noticeDelay },
			StorePart: func(part quarantiner.Digest) { go registry.Persist(t.Context(), part) },
			Broadcast: func(records []quarantiner.Record) { f.broadcast(i, records) },
		})
		registry.Local = q
		f.quarantines = append(f.quarantines, q)
		f.forwarders = append(f.forwarders, New(Config{
			Tables: f, Upstreams: f, Budgets: f, Balancer: balancer.New(balancer.Config{}), Limits: throttler.New(throttler.Config{}), Streams: onlyPinner(), Sender: f, Quarantine: q, Permits: registry, Probe: f.probe,
			Retries: retrier.New(retrier.Config{TargetRatio: 10, AccountRatio: 10, Burst: 100}), Random: func() float64 { return 0 },
			SetMetadata: func(http.Header, Metadata) {},
		}))
	}
	return f
}

// broadcast delivers records to the other daemons after noticeDelay.
func (f *crashFleet) broadcast(from int, records []quarantiner.Record) {
	time.AfterFunc(f.noticeDelay, func() {
		for i, q := range f.quarantines {
			if i != from {
				q.Merge(time.Now(), records)
			}
		}
	})
}

// connect returns the channel that is closed when the upstream crashes, or an error if it is down.
func (f *crashFleet) connect(address netip.AddrPort) (chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.downUntil[address]) {
		return nil, errConnectionReset
	}
	return f.crashed[address], nil
}

func (f *crashFleet) probe(_ context.Context, address netip.AddrPort) error {
	_, err := f.connect(address)
	return err
}

func (f *crashFleet) crash(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.downUntil[address]) {
		return // another request has crashed it at the same moment
	}
	f.downUntil[address] = time.Now().Add(crashDowntime)
	f.crashes = append(f.crashes, time.Now())
	close(f.crashed[address])
	f.crashed[address] = make(chan struct{})
}

func (f *crashFleet) Send(_ context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	crashed, err := f.connect(address)
	if err != nil {
		return nil, &connector.CallError{ConnectFailed: true, Step: "connect", Err: err}
	}
	crashes := string(call.Body) == crashBody
	f.mu.Lock()
	f.sentIDs[call.ID] = true
	if crashes {
		f.sent = append(f.sent, time.Now())
	}
	f.mu.Unlock()
	select {
	case <-time.After(prefillTime):
	case <-crashed:
		return nil, failureAfterWrite
	}
	if crashes {
		f.crash(address)
		return nil, failureAfterWrite
	}
	return &connector.Response{
		Status: 200, Header: eventStreamHeader, Length: -1, Framing: framer.Chunked,
		Body: &crashableBody{crashed: crashed}, Metadata: connector.Metadata{ID: call.ID, Signed: true},
	}, nil
}

// crashableBody is a stream of twenty events that ends with an error if its upstream crashes.
type crashableBody struct {
	crashed chan struct{}
	events  int
}

func (b *crashableBody) Read(p []byte) (int, error) {
	if b.events == 20 {
		return 0, io.EOF
	}
	select {
	case <-time.After(eventInterval):
		b.events++
		return copy(p, sseEvent(fmt.Sprint(b.events))), nil
	case <-b.crashed:
		return 0, io.ErrUnexpectedEOF
	}
}

// call sends one request through a random daemon.
func (f *crashFleet) call(path, body string, random *rand.Rand, parts ...uint64) {
	f.callTarget(path, fmt.Sprint(path, random.Uint64()), body, random, parts...)
}

func (f *crashFleet) callTarget(path, target, body string, random *rand.Rand, parts ...uint64) {
	daemon := f.forwarders[random.IntN(len(f.forwarders))]
	request := &Request{
		ID: fmt.Sprint(random.Uint64()), Method: "POST", Host: "a.example", Path: path, Target: target, Header: http.Header{}, Key: "key",
		Body: strings.NewReader(body), Length: int64(len(body)), CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
	}
	at := request.ReceivedAt
	for _, id := range parts {
		request.PromptParts = append(request.PromptParts, balancer.Part{ID: id, Tokens: 300})
	}
	go func() {
		w, aborted := httptest.NewRecorder(), false
		func() {
			defer func() {
				cause := recover()
				aborted = cause != nil
				if aborted && cause != http.ErrAbortHandler {
					panic(cause)
				}
			}()
			daemon.Serve(context.Background(), w, request)
		}()
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.Code == http.StatusServiceUnavailable && f.sentIDs[request.ID] {
			f.falselyRefused++
		}
		if body == crashBody {
			return
		}
		f.sound = append(f.sound, soundRequest{at: at, begun: w.Code == http.StatusOK})
		if aborted {
			f.aborted++
			return
		}
		f.statuses[w.Code]++
		if strings.Contains(w.Body.String(), refuser.Quarantined.String()) {
			f.blamed++
		}
	}()
}

// play sends requests for a time: sound ones, of which many share parts with those that crash
// upstreams, and once in crashInterval one that crashes its upstream. Requests with crashPart
// are sound for the time soundFor.
func (f *crashFleet) play(path string, duration, crashInterval, soundFor time.Duration, random *rand.Rand) {
	const soundInterval = 30 * time.Millisecond
	start, nextCrash := time.Now(), time.Now()
	for time.Since(start) < duration {
		body := crashBody
		if time.Since(start) < soundFor {
			body = "sound"
		}
		f.call(path, "sound", random, random.Uint64N(3), 100+random.Uint64N(40), random.Uint64())
		if crashInterval > 0 && !time.Now().Before(nextCrash) {
			f.call(path, body, random, random.Uint64N(3), crashPart, random.Uint64())
			nextCrash = nextCrash.Add(crashInterval/2 + time.Duration(random.Int64N(int64(crashInterval))))
		}
		time.Sleep(soundInterval)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// sentAfterFifthCrash returns how many requests that crash upstreams reached one later than
// stable after the fifth crash.
func (f *crashFleet) sentAfterFifthCrash(stable time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.sent {
		if len(f.crashes) >= 5 && t.After(f.crashes[4].Add(stable)) {
			n++
		}
	}
	return n
}

// Requests that are all different but share one prompt part crash each upstream that starts to
// answer them. The fleet has to recognise the part, and to go on serving the requests that
// share only the other parts.
func TestCrashingPartIsQuarantined(t *testing.T) {
	const maxSentAfter = 3 // what the users allow
	small, large := 100*time.Millisecond, 3*time.Second
	tests := []struct {
		name               string
		path               string
		daemons, upstreams int
		crashInterval      time.Duration
		noticeDelay        time.Duration
		soundFor           time.Duration
		stable             time.Duration // after the fifth crash; the users count from then on
	}{
		{"one daemon", "/stream/", 1, 18, time.Second, small, 0, 3 * time.Second},
		{"fleet", "/stream/", 7, 18, 800 * time.Millisecond, small, 0, 3 * time.Second},
		{"fleet, resumable", "/resume/", 7, 18, 800 * time.Millisecond, small, 0, 3 * time.Second},
		{"fleet, many at once", "/stream/", 7, 18, 100 * time.Millisecond, small, 0, 3 * time.Second},
		{"fleet, seldom", "/stream/", 7, 18, 5 * time.Second, small, 0, 3 * time.Second},
		{"fleet, part that was sound", "/stream/", 7, 18, 400 * time.Millisecond, small, 10 * time.Second, 3 * time.Second},
		{"large fleet", "/stream/", 60, 100, 800 * time.Millisecond, large, 0, 5 * time.Second},
		{"large fleet, many at once", "/stream/", 60, 100, 100 * time.Millisecond, large, 0, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(t, tt.daemons, tt.upstreams, tt.noticeDelay)
					f.play(tt.path, 50*time.Second, tt.crashInterval, tt.soundFor, rand.New(rand.NewPCG(seed, 1)))
					t.Logf("seed %d: %d crashes, %d sent too late, others: %v, %d aborted", seed, len(f.crashes), f.sentAfterFifthCrash(tt.stable), f.statuses, f.aborted)
					require.GreaterOrEqual(t, len(f.crashes), 3)
					require.LessOrEqual(t, f.sentAfterFifthCrash(tt.stable), maxSentAfter)
					require.Zero(t, f.falselyRefused)
					require.Zero(t, f.blamed)
				})
			}
		})
	}
}

// A part is quarantined by the crash in the first attempt of a request that may be resumed.
// The request has run, so its refusal must not say that it has not.
func TestQuarantineBetweenAttemptsIsNoPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, random := newCrashFleet(t, 1, 18, 0), rand.New(rand.NewPCG(1, 1))
		for _, path := range []string{"/stream/", "/stream/", "/resume/"} {
			f.call(path, crashBody, random, 1, crashPart, random.Uint64())
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		require.Len(t, f.sent, 3, "the second attempt of the last request is refused")
		require.Zero(t, f.falselyRefused)
	})
}

// Many upstreams crash at the same moment, again and again, for a reason of their own. No
// request and no part that they have in common may be blamed for it.
func TestCrashOfManyUpstreamsBlamesNoPart(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := newCrashFleet(t, 7, 18, 100*time.Millisecond)
			go func() {
				crashRandom := rand.New(rand.NewPCG(seed, 3))
				for range 8 {
					time.Sleep(5 * time.Second)
					for _, i := range crashRandom.Perm(len(f.list))[:6] {
						f.crash(f.list[i].Address)
					}
				}
			}()
			f.play("/stream/", 50*time.Second, 0, 0, rand.New(rand.NewPCG(seed, 2)))
			t.Logf("seed %d: %d crashes, others: %v, %d aborted", seed, len(f.crashes), f.statuses, f.aborted)
			require.Zero(t, f.blamed)
		})
	}
}
