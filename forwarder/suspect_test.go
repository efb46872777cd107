package forwarder

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// share returns the share of the sound requests sent from one time to another whose streams began, and their number.
func (f *crashFleet) share(from, to time.Time) (share float64, asked int) {
	begun := 0
	for _, r := range f.sound {
		if r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		asked++
		if r.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(asked, 1)), asked
}

// All requests of a small account share a part of their prompts. The account pauses while requests of it begin to come that crash
// upstreams and hold that part and another one, so that no output tells which of the two is the cause. The sound part must not stay
// blocked once sound requests come again, and the cause must not crash more upstreams than the users allow.
func TestPartBesideTheCrashingOneIsServed(t *testing.T) {
	const (
		stable       = 3 * time.Second // the users' bound
		maxSentAfter = 3               // what the users allow
		calm         = 40 * time.Second
		pause        = 3 * time.Second
		common       = 1
	)
	type play struct {
		name                         string
		daemons, upstreams           int
		soundInterval, crashInterval time.Duration
		noticeDelay                  time.Duration
		// commonCrashes is true if the part that all requests of the account hold is the cause. The sound ones
		// then hold the other one, from the end of the pause on.
		commonCrashes bool
	}
	tests := []play{
		{"one sound request a second", 7, 18, time.Second, 333 * time.Millisecond, 100 * time.Millisecond, false},
		{"crashes one a second", 7, 18, time.Second, 900 * time.Millisecond, 100 * time.Millisecond, false},
		{"crashes many at once", 7, 18, time.Second, 100 * time.Millisecond, 100 * time.Millisecond, false},
		{"one sound request in three seconds", 7, 18, 3 * time.Second, 333 * time.Millisecond, 100 * time.Millisecond, false},
		{"25 sound requests a second", 7, 18, 40 * time.Millisecond, 333 * time.Millisecond, 100 * time.Millisecond, false},
		{"one daemon", 1, 18, time.Second, 333 * time.Millisecond, 100 * time.Millisecond, false},
		{"large fleet", 60, 100, time.Second, 333 * time.Millisecond, 3 * time.Second, false},
		{"the part that was served for long is the cause", 7, 18, time.Second, 333 * time.Millisecond, 100 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					f, random := newCrashFleet(t, tt.daemons, tt.upstreams, tt.noticeDelay), rand.New(rand.NewPCG(seed, 4))
					sendEvery := func(interval, duration time.Duration, send func()) {
						for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
							send()
						}
					}
					sound := func() { f.call("/stream/", "sound", random, common, 100+random.Uint64N(20), random.Uint64()) }
					sendEvery(tt.soundInterval, calm, sound)
					changed := time.Now()
					crashing := rand.New(rand.NewPCG(seed, 5))
					go sendEvery(tt.crashInterval, pause+calm, func() {
						f.call("/stream/", crashBody, crashing, common, crashPart, crashing.Uint64())
					})
					if tt.commonCrashes {
						alone := rand.New(rand.NewPCG(seed, 8))
						go sendEvery(tt.crashInterval, pause+calm, func() {
							f.call("/stream/", crashBody, alone, common, 100+alone.Uint64N(20), alone.Uint64())
						})
						sound = func() { f.call("/stream/", "sound", random, crashPart, 100+random.Uint64N(20), random.Uint64()) }
					}
					time.Sleep(pause)
					sendEvery(tt.soundInterval, calm, sound)
					end := time.Now()
					time.Sleep(10 * time.Second)
					synctest.Wait()

					require.GreaterOrEqual(t, len(f.crashes), 3)
					before, asked := f.share(time.Time{}, changed)
					after, askedAfter := f.share(changed.Add(pause+2*stable), end)
					t.Logf("seed %d: %d crashes, %d sent too late, %.2f of %d began before, %.2f of %d after", seed, len(f.crashes), f.sentAfterFifthCrash(stable), before, asked, after, askedAfter)
					require.LessOrEqual(t, f.sentAfterFifthCrash(stable), maxSentAfter)
					require.GreaterOrEqual(t, after, before/2)
					require.Zero(t, f.falselyRefused)
				})
			}
		})
	}
}

// repeat sends a request again and again: every 2 s at four daemons at once.
func (f *crashFleet) repeat(duration time.Duration, body string, random *rand.Rand) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(2 * time.Second) {
		for range 4 {
			f.callTarget("/again/", "/again/same", body, random)
		}
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// A request that crashes its upstreams comes again for minutes, at all daemons. When its quarantine ends, one daemon may pass it on, not
// each of them, until they have heard of the next crash.
func TestQuarantinedRequestIsTestedByOneDaemon(t *testing.T) {
	const (
		stable       = 3 * time.Second // after the third crash; the users count from then on
		maxSentAfter = 3               // what the users allow
	)
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := newCrashFleet(t, 7, 18, 100*time.Millisecond)
			f.repeat(150*time.Second, crashBody, rand.New(rand.NewPCG(seed, 6)))
			require.GreaterOrEqual(t, len(f.crashes), 3)
			late := 0
			for _, at := range f.sent {
				if at.After(f.crashes[2].Add(stable)) {
					late++
				}
			}
			t.Logf("seed %d: %d crashes, %d sent too late", seed, len(f.crashes), late)
			require.LessOrEqual(t, late, maxSentAfter)
			require.Zero(t, f.falselyRefused)
		})
	}
}

// A sound request was running at upstreams that crashed for another reason. Once a daemon has served it, all daemons serve it, also at
// the same time.
func TestWronglyQuarantinedRequestIsServedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, random := newCrashFleet(t, 7, 18, 100*time.Millisecond), rand.New(rand.NewPCG(1, 7))
		request := &Request{Method: "POST", Target: "/again/same", Key: "key"}
		digest := (&exchange{request: request, body: []byte("sound")}).digest()
		for i := range 3 {
			f.quarantines[i].Begin(time.Now(), digest, f.list[i].Address.String())
			f.quarantines[i].End(time.Now(), digest, f.list[i].Address.String(), true)
		}
		time.Sleep(time.Second)
		start := time.Now()
		f.repeat(100*time.Second, "sound", random)
		before, asked := f.share(start, start.Add(50*time.Second))
		after, askedAfter := f.share(start.Add(70*time.Second), time.Now())
		t.Logf("%.2f of %d while quarantined, %.2f of %d later", before, asked, after, askedAfter)
		require.Zero(t, before)
		require.Equal(t, 1.0, after)
	})
}
