package soaker

import (
	"context"
	"syscall"
	"time"

	"laburnumline/emulator"
	"laburnumline/sleeper"
)

const (
	// pause is the mean time between two faults, and shortest the least that one lasts.
	pause    = 500 * time.Millisecond
	shortest = 300 * time.Millisecond
	// longest is the most that a fault lasts: cuts on the users' platform last nine seconds.
	longest = 9 * time.Second
)

// fault is one kind of fault, which it begins. It returns a name and what ends it.
type fault func(s *soak) (name string, end func())

// faults are drawn with equal weight.
var faults = []fault{
	kill, kill, killAll, stop, reload, freeze, cutOne, cutOne, cutAll, storeFails, storeFails,
	upstreamFails, upstreamFails, topUpAccount, addKey,
}

// faultsUntil lets faults come, each for a while, in the order of the seed.
func (s *soak) faultsUntil(ctx context.Context) {
	for ctx.Err() == nil {
		name, end := faults[s.random.IntN(len(faults))](s)
		lasts := shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))/time.Duration(1+s.random.IntN(6))
		if end != nil {
			s.say("%s for %v", name, lasts.Round(time.Millisecond))
			time.AfterFunc(lasts, end)
		} else {
			s.say("%s", name)
		}
		_ = sleeper.Sleep(ctx, time.Duration(s.random.Int64N(int64(2*pause)))) // the loop looks at ctx
	}
}

// calm ends all faults.
func (s *soak) calm() {
	s.store(emulator.StoreFaults{})
	for _, d := range s.daemons {
		d.proxy.set(wayOpen)
		d.signal(syscall.SIGCONT)
	}
	s.say("calm")
}

func (s *soak) any() *daemon { return s.daemons[s.random.IntN(len(s.daemons))] }

func kill(s *soak) (string, func()) {
	d := s.any()
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
	d := s.any()
	d.signal(syscall.SIGTERM)
	return "stop " + d.name, nil
}

func reload(s *soak) (string, func()) {
	d := s.any()
	d.signal(syscall.SIGHUP)
	return "reload " + d.name, nil
}

func freeze(s *soak) (string, func()) {
	d := s.any()
	d.signal(syscall.SIGSTOP)
	return "freeze " + d.name, func() { d.signal(syscall.SIGCONT) }
}

func cutOne(s *soak) (string, func()) {
	d, w := s.any(), 1+way(s.random.IntN(int(ways)-1))
	d.proxy.set(w)
	return "cut " + d.name, func() { d.proxy.set(wayOpen) }
}

func cutAll(s *soak) (string, func()) {
	for _, d := range s.daemons {
		d.proxy.set(waySilent)
	}
	return "cut all", func() {
		for _, d := range s.daemons {
			d.proxy.set(wayOpen)
		}
	}
}

func (s *soak) store(f emulator.StoreFaults) { s.site.store.SetFaults(f) }

func storeFails(s *soak) (string, func()) {
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
	k := kinds[s.random.IntN(len(kinds))]
	s.store(k.faults)
	return k.name, func() { s.store(emulator.StoreFaults{}) }
}

func upstreamFails(s *soak) (string, func()) {
	all := append(append([]*emulator.Runner(nil), s.site.desks...), s.site.models...)
	r := all[s.random.IntN(len(all))]
	for range 1 + s.random.IntN(20) {
		r.Inject(faultsOfUpstreams[s.random.IntN(len(faultsOfUpstreams))])
	}
	return "an upstream fails", nil
}

func topUpAccount(s *soak) (string, func()) {
	s.site.raise()
	return "the account prepays more", nil
}

func addKey(s *soak) (string, func()) { return "new key " + s.site.newKey(), nil }
