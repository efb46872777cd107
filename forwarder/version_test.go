package forwarder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/archivist"
	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/framer"
	"laburnumline/persister"
	"laburnumline/pinner"
	"laburnumline/quarantiner"
	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/retrier"
	"laburnumline/sleeper"
	"laburnumline/throttler"
)

const (
	versionEvents = 20 // of a stream
	// restartTime is the time until an upstream or a daemon that has ended accepts requests again.
	restartTime = 300 * time.Millisecond
	// stableTime is how long a daemon has to run before its refusals count.
	stableTime = 3 * time.Second
	// listInterval is the time between two updates of the list of upstreams.
	listInterval = 200 * time.Millisecond
	// keepInterval is the time between two checks whether the software history has to be stored.
	keepInterval = 500 * time.Millisecond
	// roundInterval is the time between two rounds of balances while several versions serve. They write records of streams.
	roundInterval = 400 * time.Millisecond
	// callerTries is how often a caller sends a request, or resumes its stream.
	callerTries = 4
)

// versionScenario is a fleet in front of upstreams of several software versions.
type versionScenario struct {
	name               string
	daemons, upstreams int
	// softwareOf returns the version of the i-th upstream at a time after the start.
	softwareOf func(i int, age time.Duration) string
	rate       int // requests per second
	// upstreamCrashes end at one moment in each crashInterval, daemonCrashes in each restartInterval.
	upstreamCrashes, daemonCrashes int
	crashInterval, restartInterval time.Duration
	// callersOnly is true if daemons make one attempt only, so that callers resume all streams.
	callersOnly bool
	// idle is the time before the first request, callerDelay that from the end of an attempt to the next one. Zero means 150 ms.
	idle, callerDelay time.Duration
	// eventInterval is the time between two events of a stream. Zero means 20 ms.
	eventInterval time.Duration
	// lost is the fraction of the messages between daemons that is lost, messageDelay the delay
	// of the others.
	lost         float64
	messageDelay time.Duration
	duration     time.Duration
	allComplete  bool // every stream has to be completed
	survivors    bool // enough streams have to be continued at any daemon
	// steps are what else happens, in order of time.
	steps []versionStep
	// clock returns what the clock of the i-th daemon is ahead of the time. Nil means zero.
	clock func(i int, age time.Duration) time.Duration
	// isolated returns how the i-th daemon is isolated from the others, and how much longer. Nil means that none is.
	isolated func(i int, age time.Duration) (how isolation, left time.Duration)
}

// isolation is how a daemon lacks what the others know.
type isolation int

const (
	connected isolation = iota
	// partitioned means that it reaches neither the store nor the other daemons.
	partitioned
	// stale means that its list of upstreams does not change, and that it does not know: the daemon which watches the
	// store for it is suspended.
	stale
	// suspended means that it does nothing, and handles its requests later.
	suspended
	// partitionedAfterSuspension is partitioned after a suspension of the machine, which the clock for the age of the list does not count.
	partitionedAfterSuspension
)

// unreachable reports whether a daemon reaches neither the store nor the others.
func (a isolation) unreachable() bool { return a == partitioned || a == partitionedAfterSuspension }

// isolationOf returns how a daemon is isolated now, and how much longer.
func (f *versionFleet) isolationOf(i int) (isolation, time.Duration) {
	if f.scenario.isolated == nil {
		return connected, 0
	}
	return f.scenario.isolated(i, time.Since(f.start))
}

// daemonStore is the store as one daemon reaches it.
type daemonStore struct {
	*emulator.Store
	fleet *versionFleet
	index int
}

var errPartitioned = errors.New("the daemon is partitioned from the store")

func (s *daemonStore) err() error {
	if how, _ := s.fleet.isolationOf(s.index); how.unreachable() || how == suspended {
		return errPartitioned
	}
	return nil
}

func (s *daemonStore) Get(ctx context.Context, key string) (persister.Entry, error) {
	if err := s.err(); err != nil {
		return persister.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *daemonStore) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.Store.Commit(ctx, txn)
}

func (s *daemonStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if err := s.err(); err != nil {
		return persister.Page{}, err
	}
	return s.Store.Range(ctx, prefix, after, limit)
}

// versionStep happens at a time after the start.
type versionStep struct {
	at time.Duration
	do func(f *versionFleet)
}

// versionFleet is a fleet of forwarders whose upstreams and daemons crash.
type versionFleet struct {
	*fakeUpstreams
	scenario versionScenario
	start    time.Time

	mu        sync.Mutex
	random    *rand.Rand
	daemons   []*versionDaemon
	store     *emulator.Store // holds the software history
	members   []netip.AddrPort
	others    [][]netip.AddrPort               // by daemon, the members without it
	crashed   map[netip.AddrPort]chan struct{} // closed when the upstream crashes
	downUntil map[netip.AddrPort]time.Time

	begun, notBegun    int // first attempts of callers
	joined             int // streams with events of several versions
	torn               int // streams with a missing or repeated event
	complete           int
	resumes, continued int // attempts to resume a stream whose version has two upstreams
	// resumedStreams are the streams with such an attempt, also at daemons that have started less than stableTime
	// ago, continuedStreams those of them that went on.
	resumedStreams, continuedStreams int
}

// versionDaemon is one start of a daemon.
type versionDaemon struct {
	forwarder *Forwarder
	registrar *registrar.Registrar
	pinner    *pinner.Pinner
	updating  sync.Mutex
	updatedAt atomic.Int64 // of the list, in nanoseconds since the start of the fleet
	several   bool         // several versions were known at the last update
	ended     context.Context
	end       context.CancelFunc
	startedAt time.Time
	downUntil time.Time // set while the daemon does not run
}

func newVersionFleet(t *testing.T, s versionScenario, seed uint64) *versionFleet {
	f := &versionFleet{
		fakeUpstreams: newFakeUpstreams(t), scenario: s, start: time.Now(), random: rand.New(rand.NewPCG(seed, 9)),
		store:   emulator.NewStore(emulator.StoreConfig{}),
		crashed: make(map[netip.AddrPort]chan struct{}), downUntil: make(map[netip.AddrPort]time.Time),
		daemons: make([]*versionDaemon, s.daemons),
	}
	for i := range s.daemons {
		f.members = append(f.members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7002))
	}
	for i := range s.daemons {
		f.others = append(f.others, slices.Concat(f.members[:i], f.members[i+1:]))
	}
	f.list = nil
	for i := range s.upstreams {
		u := registrar.Upstream{
			Name: registrar.Name(fmt.Sprint("i-", i)), Service: "drafts",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
		f.list = append(f.list, u)
		f.crashed[u.Address] = make(chan struct{})
	}
	for i := range s.daemons {
		f.startDaemon(i)
	}
	return f
}

func (f *versionFleet) startDaemon(i int) {
	ctx, end := context.WithCancel(context.Background())
	attempts := 3
	if f.scenario.callersOnly {
		attempts = 1
	}
	d := &versionDaemon{startedAt: time.Now(), ended: ctx, end: end}
	d.registrar = registrar.New(registrar.Config{
		Decode: func(key string, _ []byte) (registrar.Upstream, error) { return f.decode(key), nil },
		Now:    func() time.Time { return f.clockOf(i) },
		ListAge: func() time.Duration {
			if how, _ := f.isolationOf(i); how == stale || how == partitionedAfterSuspension {
				return 0
			}
			return time.Since(f.start) - time.Duration(d.updatedAt.Load())
		},
	})
	store := &daemonStore{Store: f.store, fleet: f, index: i}
	archive := archivist.New(archivist.Config{
		Store: store, Name: fmt.Sprint("vm-", i), Incarnation: fmt.Sprint(time.Since(f.start).Milliseconds()), Members: func() int { return len(f.members) }, Era: f.store.Era,
	})
	d.pinner = pinner.New(pinner.Config{
		Archive: archive,
		Self:    f.members[i], Peers: func() []netip.AddrPort { return f.others[i] },
		Send: func(to netip.AddrPort, datagram []byte) { f.deliver(d, f.members[i], to, datagram) },
	})
	go d.pinner.Run(d.ended)
	go runRounds(d.ended, store, archive, time.Duration(f.random.Int64N(int64(roundInterval))))
	f.daemons[i] = d
	d.forwarder = New(Config{
		Tables: f, Upstreams: d.registrar, Streams: d.pinner, Budgets: f, Balancer: balancer.New(balancer.Config{}), Limits: throttler.New(throttler.Config{}),
		Sender: f, Quarantine: quarantiner.New(quarantiner.Config{MaxCrashes: 1000, SuspicionPeriod: time.Minute}), Probe: f.probe,
		Software: &registrar.SoftwareChecker{Store: &registrar.SoftwareStore{Store: store, Registrar: d.registrar, Timeout: time.Second, Era: f.store.Era}},
		Retries:  retrier.New(retrier.Config{Attempts: attempts, TargetRatio: 10, AccountRatio: 10, Burst: 100}), Random: func() float64 { return 0 },
		SetMetadata: func(h http.Header, m Metadata) { h.Set("Last", m.ResumeAfter); h.Set("Upstream", string(m.Upstream)) },
	})
	go f.keepSoftware(i, d, store, time.Duration(f.random.Int64N(int64(keepInterval))))
	f.update(i, d, f.entries())
}

// runRounds writes records of streams as the rounds of balances do.
func runRounds(ctx context.Context, store *daemonStore, archive *archivist.Archivist, phase time.Duration) {
	for sleeper.Sleep(ctx, roundInterval-phase) == nil {
		phase = 0
		batch := archive.Pending()
		_, err := store.Commit(ctx, persister.Txn{Puts: batch.Puts, Deletes: batch.Deletes})
		if err == nil && ctx.Err() == nil {
			batch.Written()
		}
	}
}

// clockOf returns the clock of a daemon, without a monotonic reading: another daemon compares its times.
func (f *versionFleet) clockOf(i int) time.Time {
	now := time.Now()
	if f.scenario.clock != nil {
		now = now.Add(f.scenario.clock(i, now.Sub(f.start)))
	}
	return now.Round(0)
}

// keepSoftware exchanges the software history with the store until the daemon ends, as launcher does.
func (f *versionFleet) keepSoftware(i int, d *versionDaemon, link *daemonStore, phase time.Duration) {
	store := &registrar.SoftwareStore{Store: link, Registrar: d.registrar, Timeout: time.Second, Era: f.store.Era, MemberPrefix: "member/"}
	loaded := false
	for d.ended.Err() == nil {
		switch {
		case !loaded:
			if loaded = store.Load(d.ended) == nil; loaded {
				_, _ = f.store.Commit(d.ended, persister.Txn{Puts: []persister.Put{{Key: fmt.Sprint("member/", i)}}}) // fails only with the daemon
			}
		case f.writes(i) || store.Created():
			_ = store.Save(d.ended) // the next call tries again
		default:
			_ = store.Refresh(d.ended)
		}
		_ = sleeper.Sleep(d.ended, keepInterval-phase) // the condition of the loop sees the end
		phase = 0
	}
}

// writes reports whether a daemon is one of the two that store changes.
func (f *versionFleet) writes(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := 0
	for _, d := range f.daemons[:i] {
		if d.ended.Err() == nil {
			before++
		}
	}
	return before < 2
}

// update gives a daemon the current list of upstreams, as its watch of the store does.
func (f *versionFleet) update(i int, d *versionDaemon, entries []persister.Entry) {
	if how, _ := f.isolationOf(i); how != connected {
		return
	}
	d.updating.Lock()
	defer d.updating.Unlock()
	d.updatedAt.Store(int64(time.Since(f.start)))
	d.registrar.Reset(entries)
	several := len(d.registrar.SoftwareHistory()["drafts"]) > 1
	if several && !d.several {
		d.pinner.ReplicateRecent()
	}
	d.several = several
}

// entries returns the entries of the upstreams, with keys "INDEX VERSION".
func (f *versionFleet) entries() []persister.Entry {
	var entries []persister.Entry
	for i := range f.list {
		if software := f.scenario.softwareOf(i, time.Since(f.start)); software != "" {
			entries = append(entries, persister.Entry{Key: fmt.Sprint(i, " ", software)})
		}
	}
	return entries
}

func (f *versionFleet) decode(key string) registrar.Upstream {
	index, software, _ := strings.Cut(key, " ")
	i, _ := strconv.Atoi(index)
	u := f.list[i]
	u.Name, u.Software = registrar.Name(fmt.Sprint(u.Name, "-", software)), software
	return u
}

// deliver delivers a datagram of a daemon after messageDelay, if neither end has crashed by then.
func (f *versionFleet) deliver(sender *versionDaemon, from, to netip.AddrPort, datagram []byte) {
	f.mu.Lock()
	lost := f.random.Float64() < f.scenario.lost || sender.ended.Err() != nil
	f.mu.Unlock()
	if lost {
		return
	}
	index := func(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 + int(b[3]) }
	time.AfterFunc(f.scenario.messageDelay, func() {
		f.mu.Lock()
		d := f.daemons[index(to)]
		f.mu.Unlock()
		senderIs, _ := f.isolationOf(index(from))
		receiverIs, _ := f.isolationOf(index(to))
		reached := !senderIs.unreachable() && !receiverIs.unreachable() && receiverIs != suspended
		if d.ended.Err() == nil && reached {
			d.pinner.Receive(from, datagram)
		}
	})
}

func (f *versionFleet) probe(_ context.Context, address netip.AddrPort) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.downUntil[address]) {
		return errConnectionReset
	}
	return nil
}

func (f *versionFleet) Send(ctx context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	if f.probe(ctx, address) != nil {
		return nil, &connector.CallError{ConnectFailed: true, Step: "connect", Err: errConnectionReset}
	}
	f.mu.Lock()
	crashed := f.crashed[address]
	f.mu.Unlock()
	select {
	case <-time.After(prefillTime):
	case <-crashed:
		return nil, failureAfterWrite
	case <-ctx.Done():
		return nil, failureAfterWrite
	}
	upstream := call.Header.Get("Upstream")
	software := upstream[strings.LastIndex(upstream, "-")+1:]
	last, _ := strconv.Atoi(call.Header.Get("Last"))
	return &connector.Response{
		Status: 200, Header: eventStreamHeader, Length: -1, Framing: framer.Chunked, Metadata: connector.Metadata{ID: call.ID, Signed: true},
		Body: &versionBody{ctx: ctx, crashed: crashed, software: software, last: last, interval: cmp.Or(f.scenario.eventInterval, eventInterval)},
	}, nil
}

// versionBody is a stream whose events name the software version that made them.
type versionBody struct {
	ctx      context.Context
	crashed  chan struct{}
	software string
	last     int
	interval time.Duration
}

func (b *versionBody) Read(p []byte) (int, error) {
	if b.last == versionEvents {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.interval):
		b.last++
		return copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", b.last, b.software)), nil
	case <-b.crashed:
		return 0, io.ErrUnexpectedEOF
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

// stream is what one caller has received over all its attempts.
type stream struct {
	events   []string // "ID VERSION"
	resumes  string   // the attempt that received the first event
	complete bool
	// resumed and continued are true after an attempt to resume the stream while two upstreams of its version
	// served, and after one that went on.
	resumed, continued bool
}

// run sends a request until its stream is complete.
func (f *versionFleet) run() {
	s := &stream{}
	for try := range callerTries {
		status := f.try(s, try)
		if s.complete || status == http.StatusNotFound {
			break
		}
		time.Sleep(cmp.Or(f.scenario.callerDelay, 150*time.Millisecond))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge(s)
}

// try makes one attempt at a random daemon that runs.
func (f *versionFleet) try(s *stream, try int) int {
	f.mu.Lock()
	index := f.random.IntN(len(f.daemons))
	d := f.daemons[index]
	id, shared := fmt.Sprint(f.random.Uint64()), f.random.Uint64N(50)
	down := time.Now().Before(d.downUntil)
	f.mu.Unlock()
	if down {
		return 0
	}
	if how, left := f.isolationOf(index); how == suspended {
		time.Sleep(left)
	}
	request := &Request{
		ID: id, Method: "POST", Host: "a.example", Path: "/resume/", Target: "/resume/" + id, Header: http.Header{}, Key: "key",
		Body: strings.NewReader("sound"), Length: 5, CallerTimeout: 9 * time.Second, ReceivedAt: time.Now(),
		PromptParts: []balancer.Part{{ID: shared, Tokens: 3000}, {ID: shared + 1<<40, Tokens: 300}},
	}
	if len(s.events) > 0 {
		request.Resumes = s.resumes
		request.ResumeAfter, _, _ = strings.Cut(s.events[len(s.events)-1], " ")
	}
	counts := len(s.events) > 0 && f.upstreamsOf(s.software()) >= 2
	w, before := httptest.NewRecorder(), len(s.events)
	aborted := false
	func() {
		defer func() { aborted = recover() != nil }()
		d.forwarder.Serve(d.ended, w, request)
	}()
	s.add(id, w.Body.String())
	s.complete = !aborted && w.Code == http.StatusOK
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case try == 0 && len(s.events) > 0:
		f.begun++
	case try == 0:
		f.notBegun++
	}
	if counts && d.ended.Err() == nil {
		continued := len(s.events) > before
		s.resumed, s.continued = true, s.continued || continued
		if d.startedAt.Equal(f.start) || time.Since(d.startedAt) >= stableTime {
			f.resumes++
			if continued {
				f.continued++
			}
		}
	}
	return w.Code
}

// upstreamsOf returns the number of upstreams of a version that are up.
func (f *versionFleet) upstreamsOf(software string) int {
	n := 0
	for _, e := range f.entries() {
		if u := f.decode(e.Key); u.Software == software && f.probe(context.Background(), u.Address) == nil {
			n++
		}
	}
	return n
}

// add appends the events of an attempt.
func (s *stream) add(attempt, body string) {
	if !strings.HasPrefix(body, "id: ") {
		return // a refusal
	}
	for _, event := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		if len(s.events) == 0 {
			s.resumes = attempt
		}
		s.events = append(s.events, strings.Replace(strings.TrimPrefix(event, "id: "), "\ndata:", "", 1))
	}
}

func (s *stream) software() string {
	_, software, _ := strings.Cut(s.events[0], " ")
	return software
}

// judge checks what a caller has received.
func (f *versionFleet) judge(s *stream) {
	if s.resumed {
		f.resumedStreams++
	}
	if s.continued {
		f.continuedStreams++
	}
	var versions []string
	for i, event := range s.events {
		id, software, _ := strings.Cut(event, " ")
		if id != fmt.Sprint(i+1) {
			f.torn++
			return
		}
		if !slices.Contains(versions, software) {
			versions = append(versions, software)
		}
	}
	if len(versions) > 1 {
		f.joined++
	}
	if s.complete && len(s.events) == versionEvents {
		f.complete++
	} else if s.complete {
		f.torn++
	}
}

// crashUpstreams crashes some upstreams at one moment.
func (f *versionFleet) crashUpstreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.random.Perm(len(f.list))[:f.scenario.upstreamCrashes] {
		address := f.list[i].Address
		f.downUntil[address] = time.Now().Add(restartTime)
		close(f.crashed[address])
		f.crashed[address] = make(chan struct{})
	}
}

// crashDaemons ends some daemons at one moment and starts them again later.
func (f *versionFleet) crashDaemons(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.random.Perm(len(f.daemons))[:count] {
		f.daemons[i].end()
		f.daemons[i].downUntil = time.Now().Add(restartTime)
		time.AfterFunc(restartTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.startDaemon(i)
		})
	}
}

// updateLists gives all daemons the list of upstreams, each at another moment.
func (f *versionFleet) updateLists() {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := f.entries()
	for i, d := range f.daemons {
		time.AfterFunc(time.Duration(f.random.Int64N(int64(listInterval))), func() { f.update(i, d, entries) })
	}
}

func (f *versionFleet) play() {
	s := f.scenario
	nextCrash, nextRestart, nextUpdate := s.crashInterval, s.restartInterval, time.Duration(0)
	for _, step := range s.steps {
		time.AfterFunc(step.at, func() { step.do(f) })
	}
	for age := time.Duration(0); age < s.duration; age = time.Since(f.start) {
		if age >= s.idle {
			go f.run()
		}
		time.Sleep(time.Second / time.Duration(s.rate))
		if age >= nextUpdate {
			nextUpdate += listInterval
			f.updateLists()
		}
		if nextCrash > 0 && age >= nextCrash {
			nextCrash += s.crashInterval
			f.crashUpstreams()
		}
		if nextRestart > 0 && age >= nextRestart {
			nextRestart += s.restartInterval
			f.crashDaemons(s.daemonCrashes)
		}
	}
	time.Sleep(30 * time.Second)
	for _, d := range f.daemons {
		d.end()
	}
	synctest.Wait()
}

// A stream holds tokens of one version of the upstream's software. Where several versions serve
// side by side, neither the daemon that holds a broken stream nor another one, at which the caller
// resumes it, may continue it at another version.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	twoVersions := func(i int, _ time.Duration) string { return []string{"v1", "v2"}[i%2] }
	threeVersions := func(i int, _ time.Duration) string { return []string{"v1", "v1.1", "v1.2"}[i%3] }
	oneVersion := func(int, time.Duration) string { return "v1" }
	// The upstreams are replaced one after the other.
	release := func(i int, age time.Duration) string {
		if age > 5*time.Second+time.Duration(i)*400*time.Millisecond {
			return "v2"
		}
		return "v1"
	}
	// A few upstreams of another version come for some seconds, twice.
	trial := func(i int, age time.Duration) string {
		if i < 3 && (age/(7*time.Second))%2 == 1 {
			return "v2"
		}
		return "v1"
	}
	const small, large = 5 * time.Millisecond, 20 * time.Millisecond
	tests := []versionScenario{
		{name: "daemon resumes", daemons: 1, upstreams: 18, softwareOf: twoVersions, rate: 40, upstreamCrashes: 4, crashInterval: 2 * time.Second},
		{name: "caller resumes", daemons: 7, upstreams: 18, softwareOf: twoVersions, rate: 40, upstreamCrashes: 4, crashInterval: 2 * time.Second, callersOnly: true, messageDelay: small},
		{name: "three versions, both", daemons: 7, upstreams: 18, softwareOf: threeVersions, rate: 40, upstreamCrashes: 4, crashInterval: 2 * time.Second, messageDelay: small},
		{name: "daemons crash", daemons: 7, upstreams: 18, softwareOf: threeVersions, rate: 40, daemonCrashes: 2, restartInterval: 2 * time.Second, messageDelay: small},
		{name: "most daemons crash", daemons: 7, upstreams: 18, softwareOf: threeVersions, rate: 40, daemonCrashes: 4, restartInterval: 4 * time.Second, messageDelay: small},
		{name: "all crash together", daemons: 7, upstreams: 18, softwareOf: threeVersions, rate: 40, daemonCrashes: 7, restartInterval: 5 * time.Second, messageDelay: small},
		{name: "messages are lost", daemons: 7, upstreams: 18, softwareOf: twoVersions, rate: 40, upstreamCrashes: 3, crashInterval: 2 * time.Second, daemonCrashes: 1, restartInterval: 3 * time.Second, messageDelay: small, lost: 0.2},
		{name: "release", daemons: 7, upstreams: 18, softwareOf: release, rate: 40, upstreamCrashes: 3, crashInterval: time.Second, daemonCrashes: 1, restartInterval: 3 * time.Second, messageDelay: small},
		{name: "versions come and go", daemons: 7, upstreams: 18, softwareOf: trial, rate: 40, upstreamCrashes: 3, crashInterval: time.Second, daemonCrashes: 2, restartInterval: 3 * time.Second, messageDelay: small},
		{name: "one version", daemons: 7, upstreams: 18, softwareOf: oneVersion, rate: 40, upstreamCrashes: 3, crashInterval: time.Second, daemonCrashes: 7, restartInterval: 10 * time.Second, messageDelay: small, allComplete: true},
		{name: "large fleet", daemons: 295, upstreams: 100, softwareOf: threeVersions, rate: 200, upstreamCrashes: 20, crashInterval: 2 * time.Second, daemonCrashes: 60, restartInterval: 3 * time.Second, messageDelay: large, duration: 12 * time.Second},
	}
	for _, tt := range tests {
		if tt.duration == 0 {
			tt.duration = 30 * time.Second
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(3)
			if tt.daemons > 100 {
				seeds = 1 // a fleet of this size takes as long as all others together
			}
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					f := newVersionFleet(t, tt, seed)
					f.play()
					t.Logf("seed %d: %d joined, %d torn, %d complete, begun %d of %d, continued %d of %d", seed, f.joined, f.torn, f.complete, f.begun, f.begun+f.notBegun, f.continued, f.resumes)
					require.Zero(t, f.joined)
					require.Zero(t, f.torn)
					if tt.allComplete {
						require.Equal(t, tt.rate*int(tt.duration/time.Second), f.complete, "nothing is refused")
					}
					if f.resumes >= 12 {
						continuedShare, begunShare := float64(f.continued)/float64(f.resumes), float64(f.begun)/float64(f.begun+f.notBegun)
						require.GreaterOrEqual(t, continuedShare, begunShare/2)
					}
				})
			}
		})
	}
}

// killAll ends all daemons at one moment.
func killAll(at time.Duration) versionStep {
	return versionStep{at, func(f *versionFleet) { f.crashDaemons(len(f.daemons)) }}
}

// killHalf ends half of the daemons at one moment.
func killHalf(at time.Duration) versionStep {
	return versionStep{at, func(f *versionFleet) { f.crashDaemons(len(f.daemons) / 2) }}
}

// killSome ends some daemons at one moment.
func killSome(at time.Duration, count int) versionStep {
	return versionStep{at, func(f *versionFleet) { f.crashDaemons(count) }}
}

// outage makes all calls to the store fail for a time.
func outage(from, to time.Duration) []versionStep {
	return []versionStep{
		{from, func(f *versionFleet) { f.store.SetFaults(emulator.StoreFaults{Outage: true}) }},
		{to, func(f *versionFleet) { f.store.SetFaults(emulator.StoreFaults{}) }},
	}
}

// All daemons die at once, and with them what they know about streams. Whatever was lost in that moment, and
// whichever versions serve afterwards, a stream must not be continued at another version than its own.
func TestNoStreamIsJoinedAfterAllDaemonsDied(t *testing.T) {
	const second = time.Second
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	// Every upstream has the version v1 and then v2.
	replaced := func(change time.Duration) func(int, time.Duration) string {
		return func(_ int, age time.Duration) string {
			if age < change {
				return "v1"
			}
			return "v2"
		}
	}
	// A third of the upstreams have the version v2 for a time.
	brief := func(from, to time.Duration) func(int, time.Duration) string {
		return func(i int, age time.Duration) string {
			if i%3 == 0 && age >= from && age < to {
				return "v2"
			}
			return "v1"
		}
	}
	twoVersions := func(i int, _ time.Duration) string { return []string{"v1", "v2"}[i%2] }
	clearStore := versionStep{at(5050), func(f *versionFleet) {
		_, err := f.store.Commit(context.Background(), persister.Txn{Deletes: []string{"software/history"}})
		if err != nil {
			panic(err)
		}
	}}
	tests := []versionScenario{
		{name: "the only version is replaced", softwareOf: replaced(at(5100)), steps: []versionStep{killAll(5 * second)}},
		{name: "the history is lost", softwareOf: replaced(at(5100)), steps: []versionStep{killAll(5 * second), clearStore}},
		{name: "a version comes and goes within a second", softwareOf: brief(at(5000), at(5500)), steps: []versionStep{killAll(at(5500))}},
		{name: "a version comes and goes while the store is unavailable", softwareOf: brief(at(5000), at(5600)), steps: append(outage(at(4900), at(5650)), killAll(at(5600)))},
		{name: "the first streams of a service", softwareOf: func(_ int, age time.Duration) string {
			switch {
			case age < at(3000):
				return ""
			case age < at(3600):
				return "v1"
			}
			return "v2"
		}, steps: append(outage(at(2900), at(3650)), killAll(at(3600)))},
		{name: "the store is restored from an older copy", softwareOf: brief(at(5200), at(6600)), steps: []versionStep{
			killAll(at(6500)), {at(5000), func(f *versionFleet) {
				copied := f.store.Copy()
				time.AfterFunc(at(1600), func() { f.store.Restore(copied) })
			}},
		}},
		{name: "clocks jump", softwareOf: brief(at(3000), at(5000)), steps: []versionStep{killAll(at(5500)), killAll(at(7000))}, clock: func(i int, age time.Duration) time.Duration {
			return time.Duration((i*7+int(age/(2*second))*5)%11-5) * second
		}},
		{name: "the only version is replaced during an outage of the store", softwareOf: replaced(at(5000)), steps: append(outage(at(4900), at(5750)), killAll(at(5600)))},
		{name: "one version", softwareOf: replaced(time.Hour), steps: append(outage(1*second, 3*second), killAll(4*second), killAll(6*second)), allComplete: true},
		{name: "two versions serve", softwareOf: twoVersions, steps: []versionStep{killAll(3 * second), killAll(6 * second)}},
		{name: "half of the daemons survive", softwareOf: twoVersions, steps: []versionStep{killHalf(3 * second), killHalf(6 * second)}, survivors: true},
	}
	for _, tt := range tests {
		tt.upstreams, tt.rate, tt.callersOnly, tt.messageDelay, tt.duration = 18, 100, true, 5*time.Millisecond, 8*second
		for _, daemons := range []int{7, 65} {
			tt := tt
			tt.daemons = daemons
			t.Run(fmt.Sprint(tt.name, ", ", tt.daemons), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					if seed > 0 && tt.daemons > 7 {
						break // a large fleet takes several times as long
					}
					synctest.Test(t, func(t *testing.T) {
						f := newVersionFleet(t, tt, seed)
						f.play()
						t.Logf("seed %d: %d joined, %d torn, %d complete, begun %d of %d, %d of %d streams continued", seed,
							f.joined, f.torn, f.complete, f.begun, f.begun+f.notBegun, f.continuedStreams, f.resumedStreams)
						require.Zero(t, f.joined)
						require.Zero(t, f.torn)
						if tt.allComplete {
							require.Equal(t, tt.rate*int(tt.duration/second), f.complete, "nothing is refused")
						}
						if tt.survivors {
							require.GreaterOrEqual(t, f.resumedStreams, 12)
							require.GreaterOrEqual(t, float64(f.continuedStreams)/float64(f.resumedStreams), float64(f.begun)/float64(f.begun+f.notBegun)/2)
						}
					})
				}
			})
		}
	}
}

// splitVersions has the versions of two services of one route.
type splitVersions struct {
	*fakeUpstreams
	versions map[resolver.ServiceName][]string
	complete bool
}

func (s *splitVersions) SoftwareVersions(service resolver.ServiceName) ([]string, bool) {
	return slices.Clone(s.versions[service]), s.complete
}

// A stream of which nobody knows the version may have begun at any service of its route, and a caller need not name
// the attempt. A list that has not been read has no version.
func TestUnknownStreamContinuesOnlyAtTheSingleVersion(t *testing.T) {
	drafts, other := resolver.ServiceName("drafts"), resolver.ServiceName("other")
	tests := []struct {
		name     string
		versions map[resolver.ServiceName][]string
		complete bool
		refused  bool
	}{
		{name: "one version", versions: map[resolver.ServiceName][]string{drafts: {"v1"}}, complete: true},
		{name: "one version at both services", versions: map[resolver.ServiceName][]string{drafts: {"v1"}, other: {"v1"}}, complete: true},
		{name: "another version at another service", versions: map[resolver.ServiceName][]string{drafts: {"v1"}, other: {"v2"}}, complete: true, refused: true},
		{name: "list not read", versions: nil, complete: true, refused: true},
		{name: "incomplete", versions: map[resolver.ServiceName][]string{drafts: {"v1"}}, refused: true},
	}
	for _, tt := range tests {
		for _, resumes := range []string{"", "unknown"} {
			upstreams := &splitVersions{fakeUpstreams: newFakeUpstreams(t), versions: tt.versions, complete: tt.complete}
			route := &resolver.Route{Repeatability: resolver.Stream, TrafficSplit: []resolver.WeightedService{{Service: drafts, Weight: 1}, {Service: other, Weight: 1}}}
			p := pinner.New(pinner.Config{Peers: func() []netip.AddrPort { return nil }})
			x := &exchange{
				forwarder: New(Config{Upstreams: upstreams, Streams: p}), route: route, service: &resolver.Service{Name: drafts},
				request: &Request{ResumeAfter: "3", Resumes: resumes},
			}
			refusal := x.findSoftware(t.Context())
			require.Equal(t, tt.refused, refusal != nil, tt.name)
			if refusal == nil {
				require.Equal(t, "v1", x.software)
			}
		}
	}
}
