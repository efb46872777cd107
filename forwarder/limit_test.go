package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/framer"
	"laburnumline/registrar"
	"laburnumline/retrier"
	"laburnumline/sleeper"
	"laburnumline/throttler"
)

const (
	// limitWindow and the two after it are the users' rule: in limitWindow an upstream gets at most
	// limitFactor times what its limit allows, and limitSlack requests more, from daemons that
	// have known the limit for limitNotice.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
)

// limitScenario is a fleet of which some upstreams state a request limit.
type limitScenario struct {
	name               string
	path               string
	daemons, upstreams int
	// limited upstreams state limit(age) requests per second at limitFrom after the start, and
	// nothing if it is negative.
	limited int
	limit   func(age time.Duration) float64
	rate    int // requests per second of the callers
	// fails is the fraction of the requests that upstreams fail, or break off if they are streams.
	fails float64
	// restarts is true if a daemon restarts every second.
	restarts     bool
	noticeDelay  time.Duration
	noticesLost  bool
	stable       time.Duration // from the first statement of the limit to its enforcement
	duration     time.Duration
	endsAt       time.Duration // after the first statement of the limit; zero if it does not end
	minUsedAfter float64       // of the requests that other upstreams get, once the limit has ended
}

const limitFrom = 8 * time.Second

// arrival is a request that reached an upstream.
type arrival struct {
	at     time.Time
	daemon int
	told   bool // the daemon has known the limit for limitNotice
}

// limitFleet is a fleet of forwarders in front of upstreams that state limits.
type limitFleet struct {
	*fakeUpstreams
	scenario limitScenario
	start    time.Time

	mu         sync.Mutex
	random     *rand.Rand
	forwarders []*Forwarder
	throttlers []*throttler.Throttler
	toldAt     []map[netip.AddrPort]time.Time // by daemon
	excused    []time.Time                    // by daemon, the end of the excuse of a restart
	arrivals   map[netip.AddrPort][]arrival
	// limitEndedAt is how long after its end the last daemon has forgotten the limit.
	limitEndedAt time.Duration
	served       int
	refused      int
	failed       int
	sentIDs      map[string]bool
	falselyNot   int // refused as not executed after they reached an upstream
}

func newLimitFleet(t *testing.T, s limitScenario, seed uint64) *limitFleet {
	f := &limitFleet{
		fakeUpstreams: newFakeUpstreams(t), scenario: s, start: time.Now(), random: rand.New(rand.NewPCG(seed, 7)),
		arrivals: make(map[netip.AddrPort][]arrival), sentIDs: make(map[string]bool),
		forwarders: make([]*Forwarder, s.daemons), throttlers: make([]*throttler.Throttler, s.daemons),
		toldAt: make([]map[netip.AddrPort]time.Time, s.daemons), excused: make([]time.Time, s.daemons),
	}
	f.list = nil
	for i := range s.upstreams {
		f.list = append(f.list, registrar.Upstream{
			Name: registrar.Name(fmt.Sprint("i-", i)), Service: "drafts",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	for i := range s.daemons {
		f.startDaemon(i)
	}
	return f
}

// startDaemon starts a daemon, or starts it again without what it knew.
func (f *limitFleet) startDaemon(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	random := rand.New(rand.NewPCG(f.random.Uint64(), 8))
	limits := throttler.New(throttler.Config{
		Self: f.memberAddress(i), Members: func() ([]netip.AddrPort, bool) { return f.otherMembers(i), true },
		Random: random.Float64,
	})
	f.throttlers[i], f.toldAt[i] = limits, make(map[netip.AddrPort]time.Time)
	f.forwarders[i] = New(Config{
		Tables: f, Upstreams: f, Budgets: f, Balancer: balancer.New(balancer.Config{Limits: limits}), Limits: limits, Streams: onlyPinner(),
		Sender: &limitSender{f, i, f.toldAt[i]}, Quarantine: f.quarantine, Probe: func(context.Context, netip.AddrPort) error { return nil },
		Retries: retrier.New(retrier.Config{TargetRatio: 10, AccountRatio: 10, Burst: 100}), Random: func() float64 { return 0 },
		SetMetadata: func(http.Header, Metadata) {},
	})
}

func (f *limitFleet) memberAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
}

func (f *limitFleet) otherMembers(i int) []netip.AddrPort {
	var others []netip.AddrPort
	for j := range f.scenario.daemons {
		if j != i {
			others = append(others, f.memberAddress(j))
		}
	}
	return others
}

// sendNotices sends the notices of all daemons to all others, noticeDelay apart.
func (f *limitFleet) sendNotices(ctx context.Context) {
	for !f.scenario.noticesLost && sleeper.Sleep(ctx, f.scenario.noticeDelay) == nil {
		f.mu.Lock()
		all := slices.Clone(f.throttlers)
		f.mu.Unlock()
		for i, from := range all {
			reports := from.Collect(time.Now(), 100)
			if len(reports) == 0 {
				continue
			}
			for j, to := range all {
				if i != j {
					to.Merge(time.Now(), reports)
				}
			}
		}
	}
}

// limitOf returns the limit that the upstream at an address states, or a negative number.
func (f *limitFleet) limitOf(address netip.AddrPort) float64 {
	age := time.Since(f.start) - limitFrom
	for i := range f.scenario.limited {
		if f.list[i].Address == address && age >= 0 {
			return f.scenario.limit(age)
		}
	}
	return -1
}

// limitSender is the Sender of one daemon.
type limitSender struct {
	*limitFleet
	daemon int
	toldAt map[netip.AddrPort]time.Time
}

func (s *limitSender) Send(_ context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	s.mu.Lock()
	told, known := s.toldAt[address]
	s.sentIDs[call.ID] = true
	s.arrivals[address] = append(s.arrivals[address], arrival{
		at: time.Now(), daemon: s.daemon,
		told: known && time.Since(told) >= limitNotice && time.Now().After(s.excused[s.daemon]),
	})
	fails := s.random.Float64() < s.scenario.fails
	s.mu.Unlock()
	time.Sleep(prefillTime)
	response := &connector.Response{Status: 200, Header: http.Header{}, Length: -1, Metadata: connector.Metadata{ID: call.ID, Signed: true}}
	if limit := s.limitOf(address); limit >= 0 {
		response.Metadata.RequestLimit = throttler.Limit{Stated: true, Rate: limit}
		s.mu.Lock()
		if _, known := s.toldAt[address]; !known {
			s.toldAt[address] = time.Now()
		}
		s.mu.Unlock()
	}
	stream := strings.Contains(call.Target, "/stream/") || strings.Contains(call.Target, "/resume/")
	body := "ok"
	if stream {
		response.Header, response.Framing = eventStreamHeader, framer.Chunked
		body = sseEvent("1") + sseEvent("2")
	}
	response.Body = strings.NewReader(body)
	if fails && stream {
		response.Body = io.MultiReader(strings.NewReader(body), errorReader{})
	} else if fails {
		response.Status = http.StatusInternalServerError
	}
	return response, nil
}

// call sends one request through a random daemon.
func (f *limitFleet) call() {
	f.mu.Lock()
	daemon := f.forwarders[f.random.IntN(len(f.forwarders))]
	id, shared := fmt.Sprint(f.random.Uint64()), f.random.Uint64N(200)
	f.mu.Unlock()
	request := &Request{
		ID: id, Method: "POST", Host: "a.example", Path: f.scenario.path, Target: f.scenario.path + id, Header: http.Header{}, Key: "key",
		Body: strings.NewReader("sound"), Length: 5, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
		PromptParts: []balancer.Part{{ID: shared, Tokens: 3000}, {ID: shared + 1<<40, Tokens: 300}}, PromptTokens: 3300,
	}
	go func() {
		w, aborted := httptest.NewRecorder(), false
		func() {
			defer func() { aborted = recover() != nil }()
			daemon.Serve(context.Background(), w, request)
		}()
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case w.Code == http.StatusServiceUnavailable && f.sentIDs[id]:
			f.falselyNot++
		case w.Code == http.StatusServiceUnavailable:
			f.refused++
		case aborted || w.Code != http.StatusOK:
			f.failed++
		default:
			f.served++
		}
	}()
}

// play sends requests for the duration of the scenario.
func (f *limitFleet) play() {
	interval := time.Second / time.Duration(f.scenario.rate)
	nextRestart := time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.sendNotices(ctx)
	for time.Since(f.start) < f.scenario.duration {
		f.call()
		time.Sleep(interval)
		if ends := f.scenario.endsAt; ends > 0 && f.limitEndedAt == 0 && f.daemonsWithLimit() == 0 && time.Since(f.start) > limitFrom+ends {
			f.limitEndedAt = time.Since(f.start) - limitFrom - ends
		}
		if f.scenario.restarts && time.Since(f.start) >= nextRestart {
			nextRestart += time.Second
			i := int(nextRestart/time.Second) % f.scenario.daemons
			f.startDaemon(i)
			f.mu.Lock()
			f.excused[i] = time.Now().Add(f.scenario.stable)
			f.mu.Unlock()
		}
	}
	time.Sleep(10 * time.Second)
	cancel()
	synctest.Wait()
}

// daemonsWithLimit returns how many daemons keep a limit of an upstream.
func (f *limitFleet) daemonsWithLimit() int {
	n := 0
	for _, limits := range f.throttlers {
		if slices.ContainsFunc(f.list[:f.scenario.limited], func(u registrar.Upstream) bool { return limits.LimitOf(u.LimitID()).Stated }) {
			n++
		}
	}
	return n
}

// excess returns by how many requests the rule was broken at most, and where.
func (f *limitFleet) excess() (most float64, at string) {
	for i := range f.scenario.limited {
		list := f.arrivals[f.list[i].Address]
		for j := range list {
			begin := list[j].at.Sub(f.start)
			if begin < limitFrom+f.scenario.stable || begin > f.scenario.duration {
				continue
			}
			allowed := f.allowed(begin)
			if allowed < 0 {
				continue
			}
			n := 0
			for _, a := range list[j:] {
				if a.at.Sub(list[j].at) >= limitWindow {
					break
				}
				if a.told {
					n++
				}
			}
			if over := float64(n) - allowed; over > most {
				most, at = over, fmt.Sprintf("%s at %v: %d requests, %.1f allowed", f.list[i].Name, begin, n, allowed)
			}
		}
	}
	return most, at
}

// allowed returns how many requests the rule allows in the window from begin, or a negative
// number if a part of it has no limit. A limit counts until limitNotice after another was stated.
func (f *limitFleet) allowed(begin time.Duration) float64 {
	highest := 0.0
	for t := begin - limitNotice; t <= begin+limitWindow; t += 100 * time.Millisecond {
		limit := f.scenario.limit(t - limitFrom)
		if limit < 0 {
			return -1
		}
		highest = max(highest, limit)
	}
	return highest*limitWindow.Seconds()*limitFactor + limitSlack
}

// usedAfter returns the requests to limited upstreams in the last 10 s of the scenario, as a
// fraction of those that the other upstreams got on average.
func (f *limitFleet) usedAfter() float64 {
	count := func(list []registrar.Upstream) float64 {
		n := 0
		for _, u := range list {
			for _, a := range f.arrivals[u.Address] {
				if a.at.Sub(f.start) > f.scenario.duration-10*time.Second {
					n++
				}
			}
		}
		return float64(n) / float64(len(list))
	}
	return count(f.list[:f.scenario.limited]) / count(f.list[f.scenario.limited:])
}

func constantLimit(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Overloaded upstreams state a request limit for the whole fleet. Every daemon that knows it has to
// keep it together with the others, whatever it sends: new requests, retries or resumed streams.
func TestFleetKeepsRequestLimits(t *testing.T) {
	const small, large = 100 * time.Millisecond, 3 * time.Second
	limitThatEnds := func(age time.Duration) float64 {
		if age > 12*time.Second {
			return -1
		}
		return 1
	}
	limitThatGrows := func(age time.Duration) float64 {
		switch {
		case age > 24*time.Second:
			return 0.5
		case age > 12*time.Second:
			return 6
		}
		return 1.2
	}
	tests := []limitScenario{
		{name: "small fleet", path: "/again/", daemons: 7, upstreams: 18, limited: 2, limit: constantLimit(1.1), rate: 70, noticeDelay: small},
		{name: "one daemon", path: "/again/", daemons: 1, upstreams: 18, limited: 2, limit: constantLimit(1.1), rate: 70, noticeDelay: small},
		{name: "most upstreams", path: "/again/", daemons: 7, upstreams: 18, limited: 15, limit: constantLimit(1), rate: 70, noticeDelay: small},
		{name: "retries", path: "/again/", daemons: 7, upstreams: 6, limited: 3, limit: constantLimit(1), rate: 40, fails: 0.4, noticeDelay: small},
		{name: "resumed streams", path: "/resume/", daemons: 7, upstreams: 6, limited: 3, limit: constantLimit(1), rate: 40, fails: 0.4, noticeDelay: small},
		{name: "restarts", path: "/stream/", daemons: 7, upstreams: 18, limited: 4, limit: constantLimit(1), rate: 70, restarts: true, noticeDelay: small},
		{name: "notices are lost", path: "/again/", daemons: 7, upstreams: 6, limited: 3, limit: constantLimit(1), rate: 40, noticesLost: true},
		{name: "no requests wanted", path: "/again/", daemons: 7, upstreams: 18, limited: 4, limit: constantLimit(0), rate: 70, noticeDelay: small},
		{name: "limit grows and falls", path: "/again/", daemons: 7, upstreams: 6, limited: 3, limit: limitThatGrows, rate: 40, noticeDelay: small},
		{name: "limit ends", path: "/again/", daemons: 7, upstreams: 18, limited: 4, limit: limitThatEnds, rate: 70, noticeDelay: small, endsAt: 12 * time.Second, duration: 75 * time.Second, minUsedAfter: 0.5},
		{name: "limit ends, notices are lost", path: "/again/", daemons: 7, upstreams: 18, limited: 4, limit: limitThatEnds, rate: 70, noticesLost: true, endsAt: 12 * time.Second, duration: 75 * time.Second},
		{name: "large fleet", path: "/again/", daemons: 295, upstreams: 100, limited: 20, limit: constantLimit(1), rate: 500, noticeDelay: large, stable: 5 * time.Second, duration: 30 * time.Second},
		{name: "large fleet, few upstreams", path: "/again/", daemons: 295, upstreams: 10, limited: 5, limit: constantLimit(1), rate: 300, noticeDelay: large, stable: 5 * time.Second},
	}
	for _, tt := range tests {
		if tt.duration == 0 {
			tt.duration = 45 * time.Second
		}
		if tt.stable == 0 {
			tt.stable = 3 * time.Second
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(3)
			if tt.daemons > 100 {
				seeds = 1 // a fleet of this size takes as long as all others together
			}
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					f := newLimitFleet(t, tt, seed)
					f.play()
					over, at := f.excess()
					t.Logf("seed %d: served %d, refused %d, failed %d, worst excess %.1f: %s, used after %.2f, ended after %v", seed, f.served, f.refused, f.failed, over, at, f.usedAfter(), f.limitEndedAt)
					require.Zero(t, over, at)
					require.Zero(t, f.falselyNot)
					require.Zero(t, f.refused, "other upstreams have capacity")
					require.GreaterOrEqual(t, f.usedAfter(), tt.minUsedAfter)
				})
			}
		})
	}
}

// If all upstreams of a service state a limit, the fleet has to use what they allow and to refuse
// the rest at once.
func TestFleetUsesLimitedService(t *testing.T) {
	tests := []limitScenario{
		{name: "few upstreams", path: "/once/", daemons: 7, upstreams: 3, limit: constantLimit(5), rate: 30},
		{name: "many upstreams", path: "/again/", daemons: 7, upstreams: 18, limit: constantLimit(1.2), rate: 45},
		{name: "high limits", path: "/again/", daemons: 7, upstreams: 18, limit: constantLimit(20), rate: 300},
		{name: "large fleet", path: "/again/", daemons: 100, upstreams: 100, limit: constantLimit(1), rate: 200},
	}
	for _, tt := range tests {
		tt.limited, tt.duration, tt.stable, tt.noticeDelay = tt.upstreams, 45*time.Second, 3*time.Second, 100*time.Millisecond
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, tt, 1)
				f.play()
				over, at := f.excess()
				arrived, begin := 0, limitFrom+tt.stable
				for _, list := range f.arrivals {
					for _, a := range list {
						if a.at.Sub(f.start) > begin {
							arrived++
						}
					}
				}
				used := float64(arrived) / (tt.limit(0) * float64(tt.upstreams) * (tt.duration - begin).Seconds())
				t.Logf("served %d, refused %d, failed %d, worst excess %.1f: %s, used %.2f of the limits", f.served, f.refused, f.failed, over, at, used)
				require.Zero(t, over, at)
				require.Zero(t, f.falselyNot)
				require.GreaterOrEqual(t, used, 0.5)
			})
		})
	}
}
