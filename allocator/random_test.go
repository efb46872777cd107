package allocator

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// checkInvariants checks that the dispatched requests do not exceed the prepaid balance
// and that the ledger agrees with the bill.
func (f *fixture) checkInvariants(t reporter) {
	t.noError(f.ledger.Check())
	var spent contractor.Tokens
	for _, used := range f.dispatched {
		spent += used
	}
	if spent > f.ledger.Balance("quotes").Prepaid {
		t.fatal("overspent: %d tokens were dispatched of %d", spent, f.ledger.Balance("quotes").Prepaid)
	}
	var settled, absorbed contractor.Tokens
	for _, line := range f.bill(t) {
		settled += line.Tokens
		absorbed += line.Absorbed
	}
	if explained := f.overcharged() + f.ledger.Balance("quotes").Unaccounted; absorbed > explained {
		t.fatal("%d tokens are not covered by any balance, %d are unconfirmed or unaccounted", absorbed, explained)
	}
	if settled != f.ledger.Balance("quotes").Settled {
		t.fatal("settled is %d, the bill says %d", f.ledger.Balance("quotes").Settled, settled)
	}
}

// overcharged returns what unconfirmed lines have charged beyond the actual use. They
// arise when the witness was not informed in time of the end of a reservation.
func (f *fixture) overcharged() contractor.Tokens {
	var sum contractor.Tokens
	for _, p := range f.pages {
		for _, line := range p.Lines {
			if line.Unconfirmed {
				sum += line.Tokens + line.Absorbed - min(line.Tokens+line.Absorbed, f.dispatched[line.Key])
			}
		}
	}
	return sum
}

// bill returns the valid line of each key. Only an unconfirmed line may be replaced.
func (f *fixture) bill(t reporter) map[contractor.RequestKey]biller.Line {
	lines := make(map[contractor.RequestKey]biller.Line)
	for _, p := range f.pages {
		for _, line := range p.Lines {
			if old, ok := lines[line.Key]; ok && (!line.Replaces || !old.Unconfirmed) {
				t.fatal("%s is billed twice", line.Key)
			}
			lines[line.Key] = line
		}
	}
	return lines
}

// converge ends all faults but the deaths of daemons, runs the protocol until nothing is
// left to do, and checks that every dispatched token is billed or accounted for otherwise.
func (f *fixture) converge(t reporter) {
	f.storeUnavailable = false
	for _, d := range f.daemons {
		d.paused = false
		if f.keepers[d.zone].dead && !d.dead {
			f.keepers[d.zone] = d
		}
	}
	for range 30 {
		f.advance(time.Second)
		for _, d := range f.keepers {
			d.ensureKeeper()
		}
		for _, d := range f.daemons {
			if d.dead {
				continue
			}
			for len(d.inFlight) > 0 {
				d.settle(0)
			}
			if status, ok := d.keeper.Status(testAccount); ok && status.Sealing {
				d.sendSeals(status.Epoch)
			}
			d.reportSettlements()
			for range 3 {
				d.advanceWrite(false)
			}
		}
		f.deliverAll(6)
		f.checkInvariants(t)
	}
	var missing contractor.Tokens
	bill := f.bill(t)
	for key, used := range f.dispatched {
		if line, ok := bill[key]; !ok || line.Tokens < used {
			missing += used - line.Tokens
		}
	}
	if explained := f.ledger.Balance("quotes").Unaccounted + f.overcharged(); missing > explained {
		t.fatal("%d dispatched tokens are neither billed nor accounted for otherwise (%d)", missing, explained)
	}
}

// runActions runs random actions, as many as rapid draws.
func (f *fixture) runActions(t *rapid.T, check reporter) {
	keys := byte(0)
	deaths, topUps := 0, 0
	runningDaemon := func(t *rapid.T) *fakeDaemon {
		d := f.daemons[rapid.IntRange(0, 5).Draw(t, "node")]
		if d.paused || d.dead {
			t.Skip("not running")
		}
		return d
	}
	pick := func(t *rapid.T, length int) int {
		if length == 0 {
			t.Skip("nothing to pick")
		}
		return rapid.IntRange(0, length-1).Draw(t, "index")
	}
	deliver := func(t *rapid.T) { f.deliver(pick(t, len(f.network)), false) }
	pickDaemon := func(t *rapid.T, has func(d *fakeDaemon) int) *fakeDaemon {
		for _, d := range f.daemons {
			if !d.paused && !d.dead && has(d) > 0 && rapid.Bool().Draw(t, "this node") {
				return d
			}
		}
		t.Skip("no node")
		return nil
	}
	dispatch := func(t *rapid.T) {
		d := pickDaemon(t, func(d *fakeDaemon) int { return len(d.reservations) })
		d.dispatch(pick(t, len(d.reservations)), f.now)
	}
	settle := func(t *rapid.T) {
		d := pickDaemon(t, func(d *fakeDaemon) int { return len(d.inFlight) })
		d.settle(pick(t, len(d.inFlight)))
	}
	reserve := func(t *rapid.T) {
		keys++
		runningDaemon(t).reserve(contractor.RequestKey{keys}, contractor.Tokens(rapid.IntRange(100, 150).Draw(t, "want")))
	}
	transfer := func(t *rapid.T) {
		d := runningDaemon(t)
		if _, ok := d.keeper.Keeps(testAccount); !ok {
			t.Skip("not the keeper")
		}
		d.requestTransfer(contractor.Tokens(rapid.IntRange(50, 200).Draw(t, "amount")))
	}
	advanceWrite := func(t *rapid.T) { runningDaemon(t).advanceWrite(false) }
	t.Repeat(map[string]func(*rapid.T){
		"reserve": reserve, "reserve 2": reserve, "dispatch": dispatch, "dispatch 2": dispatch,
		"deliver": deliver, "deliver 2": deliver, "deliver 3": deliver, "deliver 4": deliver,
		"step": advanceWrite, "step 2": advanceWrite,
		"deliver all": func(*rapid.T) { f.deliverAll(6) },
		"request":     func(t *rapid.T) { reserve(t); f.deliverAll(6) },
		"reserve again": func(t *rapid.T) {
			if keys > 1 {
				key := byte(rapid.IntRange(1, int(keys)/2).Draw(t, "key"))
				runningDaemon(t).reserve(contractor.RequestKey{2 * key}, 100)
			}
		},
		"duplicate": func(t *rapid.T) { f.deliver(pick(t, len(f.network)), true) },
		"lose": func(t *rapid.T) {
			i := pick(t, len(f.network))
			f.network = append(f.network[:i:i], f.network[i+1:]...)
		},
		"settle": settle, "settle 2": settle,
		"report":              func(t *rapid.T) { runningDaemon(t).reportSettlements() },
		"step, lost response": func(t *rapid.T) { runningDaemon(t).advanceWrite(true) },
		"transfer":            transfer, "transfer 2": transfer,
		"pause": func(t *rapid.T) { runningDaemon(t).paused = true },
		"wake":  func(t *rapid.T) { f.daemons[rapid.IntRange(0, 5).Draw(t, "node")].paused = false },
		"store": func(*rapid.T) { f.storeUnavailable = !f.storeUnavailable },
		"tick":  func(t *rapid.T) { f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		"tick past the term": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
				f.advance(2 * time.Minute)
			}
		},
		"keeper changes": func(t *rapid.T) {
			d := f.daemons[rapid.IntRange(0, 5).Draw(t, "node")]
			if !d.dead {
				f.keepers[d.zone] = d
			}
		},
		"die": func(t *rapid.T) {
			d := f.daemons[rapid.IntRange(0, 5).Draw(t, "node")]
			if deaths == 2 || rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
				t.Skip("enough")
			}
			deaths++
			d.dead = true
		},
		"top up": func(t *rapid.T) {
			if topUps == 2 || f.storeUnavailable {
				t.Skip("enough")
			}
			topUps++
			next, err := f.ledger.TopUp("quotes", 200)
			check.noError(err)
			f.ledger, f.revision = next, f.revision+1
		},
		"": func(*rapid.T) { f.checkInvariants(check) },
	})
	f.converge(check)
}

// Guards against overspending, double billing and lost settlements when messages are
// lost, duplicated and reordered, daemons pause and die, the store is unavailable, and
// keepers change.
func TestRandomActionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newFixture(reporter{t.Fatalf}, faults{}, nil).runActions(t, reporter{t.Fatalf})
	})
}

// findViolation runs random actions until an invariant is violated, and returns the
// violation.
func findViolation(skipDedup bool, attempts int) (found string) {
	runs := rapid.Custom(func(t *rapid.T) int {
		defer func() {
			p := recover()
			if v, ok := p.(violation); ok {
				found = string(v)
			} else if p != nil {
				panic(p)
			}
		}()
		f := newFixture(reporter{panicWithViolation}, faults{}, nil)
		f.skipDedup = skipDedup
		f.runActions(t, reporter{panicWithViolation})
		return 0
	})
	for seed := 0; seed < attempts && found == ""; seed++ {
		runs.Example(seed)
	}
	return found
}

type violation string

func panicWithViolation(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// Guards against invariants that cannot fail: without deduplication of request keys,
// the random actions must find a violation.
func TestInvariantsDetectInjectedFault(t *testing.T) {
	const attempts = 400
	for _, c := range []struct {
		name      string
		skipDedup bool
		violated  bool
	}{
		{"none", false, false},
		{"no deduplication", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			violation := findViolation(c.skipDedup, attempts)
			if c.violated != (violation != "") {
				t.Fatalf("violation is %q, want one: %t", violation, c.violated)
			}
		})
	}
}
