package soaker

import (
	"context"
	"syscall"
	"time"

	"laburnumline/emulator"
	"laburnumline/sleeper"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 500 * time.Millisecond
	minFaultDuration  = 300 * time.Millisecond
	// maxFaultDuration is the duration of network partitions on the users' platform.
	maxFaultDuration = 9 * time.Second
)

// fault starts a fault and returns its name for the output and a function that ends it, which is
// nil for a fault that ends by itself.
type fault func(s *soak) (name string, end func())

// faults is the list from which faults are drawn, each element with equal probability. A fault
// that is listed twice is drawn twice as often.
var faults = []fault{
	kill, kill, killAll, stop, reload, freeze, partitionOne, partitionOne, partitionAll, failStore, failStore,
	failUpstream, failUpstream, topUpAccount, addKey,
}

// injectFaults starts faults until ctx ends. The seed determines their order, durations and
// intervals. Faults may overlap.
func (s *soak) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		name, end := faults[s.random.IntN(len(faults))](s)
		duration := minFaultDuration + time.Duration(s.random.Int64N(int64(maxFaultDuration-minFaultDuration)))/time.Duration(1+s.random.IntN(6))
		if end != nil {
			s.logf("%s for %v", name, duration.Round(time.Millisecond))
			time.AfterFunc(duration, end)
		} else {
			s.logf("%s", name)
		}
		_ = sleeper.Sleep(ctx, time.Duration(s.random.Int64N(int64(2*meanFaultInterval)))) // the loop checks ctx
	}
}

// clearFaults ends the faults of the store, the proxies and frozen processes.
func (s *soak) clearFaults() {
	s.setStoreFaults(emulator.StoreFaults{})
	for _, d := range s.daemons {
		d.proxy.setMode(modeForward)
		d.signal(syscall.SIGCONT)
	}
	for _, r := range s.fixture.modelUpstreams {
		r.SetRequestLimit(-1)
	}
	s.logf("calm")
}

func (s *soak) randomDaemon() *daemon { return s.daemons[s.random.IntN(len(s.daemons))] }

func kill(s *soak) (string, func()) {
	d := s.randomDaemon()
	d.signal(syscall.SIGKILL)
	return "kill " + d.name, nil
}

func killAll(s *soak) (string, func()) {
	for _, d := range s.daemons {
		d.signal(syscall.SIGKILL)
	}
	return "kill all", nil
}

func stop(s *soak) (string, func()) {
	d := s.randomDaemon()
	d.signal(syscall.SIGTERM)
	return "stop " + d.name, nil
}

func reload(s *soak) (string, func()) {
	d := s.randomDaemon()
	d.signal(syscall.SIGHUP)
	return "reload " + d.name, nil
}

func freeze(s *soak) (string, func()) {
	d := s.randomDaemon()
	d.signal(syscall.SIGSTOP)
	return "freeze " + d.name, func() { d.signal(syscall.SIGCONT) }
}

// partitionOne sets the proxy of a random daemon to a random mode other than modeForward.
func partitionOne(s *soak) (string, func()) {
	d, mode := s.randomDaemon(), 1+proxyMode(s.random.IntN(int(modeCount)-1))
	d.proxy.setMode(mode)
	return "cut " + d.name, func() { d.proxy.setMode(modeForward) }
}

func partitionAll(s *soak) (string, func()) {
	for _, d := range s.daemons {
		d.proxy.setMode(modeHold)
	}
	return "cut all", func() {
		for _, d := range s.daemons {
			d.proxy.setMode(modeForward)
		}
	}
}

func (s *soak) setStoreFaults(f emulator.StoreFaults) { s.fixture.store.SetFaults(f) }

func failStore(s *soak) (string, func()) {
	kinds := []struct {
		name   string
		faults emulator.StoreFaults
	}{
		{"store down", emulator.StoreFaults{Outage: true}},
		{"store down, leases pause", emulator.StoreFaults{Outage: true, PauseLeases: true}},
		{"store hangs", emulator.StoreFaults{Hang: true}},
		{"store slow", emulator.StoreFaults{Delay: 200 * time.Millisecond}},
		{"store loses answers", emulator.StoreFaults{LoseResponses: 0.3}},
		{"store writes late", emulator.StoreFaults{LateCommits: 0.3, LateCommitDelay: 2 * time.Second}},
		{"store holds events", emulator.StoreFaults{HoldEvents: true}},
	}
	kind := kinds[s.random.IntN(len(kinds))]
	s.setStoreFaults(kind.faults)
	return kind.name, func() { s.setStoreFaults(emulator.StoreFaults{}) }
}

func failUpstream(s *soak) (string, func()) {
	all := append(append([]*emulator.Runner(nil), s.fixture.deskUpstreams...), s.fixture.modelUpstreams...)
	upstream := all[s.random.IntN(len(all))]
	for range 1 + s.random.IntN(20) {
		upstream.Inject(upstreamFaults[s.random.IntN(len(upstreamFaults))])
	}
	return "an upstream fails", nil
}

func topUpAccount(s *soak) (string, func()) {
	s.fixture.topUp(topUpTokens)
	return "the account prepays more", nil
}

func addKey(s *soak) (string, func()) { return "new key " + s.fixture.newKey(), nil }
