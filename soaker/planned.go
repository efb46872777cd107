package soaker

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/sleeper"
)

const (
	// plannedEventInterval makes streams last about two seconds, so that many are in flight when a daemon stops.
	plannedEventInterval = 60 * time.Millisecond
	// plannedTokens covers the requests of a planned run.
	plannedTokens = 100_000_000
	// maxPlannedPause is the maximum time between two pieces of planned work at a daemon.
	maxPlannedPause = 1500 * time.Millisecond
	// maxHangups and maxHangupPause limit a series of changes of the settings file.
	maxHangups     = 8
	maxHangupPause = 60 * time.Millisecond
	// maxStartHangup is the maximum time from the start of a process to SIGHUP.
	maxStartHangup = 30 * time.Millisecond
	// startCheckInterval is the time between two checks whether a process has started.
	startCheckInterval = 100 * time.Microsecond
)

// runPlanned sends requests while daemons are stopped and started and their settings files change.
func (s *soak) runPlanned(ctx context.Context) (*Report, error) {
	s.history.planned = true
	s.fixture.topUp(plannedTokens)
	s.runCallersBeside(ctx, func(ctx context.Context) {
		var work errgroup.Group
		for i, d := range s.daemons {
			random := rand.New(rand.NewPCG(s.config.Seed, uint64(5000+i)))
			work.Go(func() error { s.workOn(ctx, d, random); return nil })
		}
		_ = work.Wait() // the functions return no errors
	})
	if err := s.awaitRecovery(ctx); err != nil {
		s.history.addViolation("not served again: %v", err)
	}
	return s.report(), ctx.Err()
}

// workOn stops a daemon and changes its settings file at random until ctx ends. A stopped daemon is started again.
func (s *soak) workOn(ctx context.Context, d *daemon, random *rand.Rand) {
	for sleeper.Sleep(ctx, time.Duration(random.Int64N(int64(maxPlannedPause)))) == nil {
		if random.IntN(3) == 0 {
			s.logf("stop %s", d.name)
			d.signal(syscall.SIGTERM)
			continue
		}
		for range 1 + random.IntN(maxHangups) {
			if err := d.changeSettings(); err != nil {
				s.logf("%s: %v", d.name, err)
			}
			d.hangUp()
			time.Sleep(time.Duration(random.Int64N(int64(maxHangupPause))))
		}
	}
}

// hangUp sends SIGHUP to the current process. The kernel ends a process that has not run an instruction of its program, which
// no program can prevent, so a process that is just being started gets the signal right after that.
func (d *daemon) hangUp() {
	d.mu.Lock()
	process := d.process.Process
	d.mu.Unlock()
	if AwaitStart(process.Pid, syscall.SIGHUP) {
		_ = process.Signal(syscall.SIGHUP) // fails if the process has ended
	}
}

// changeSettings writes the settings file again, in place.
func (d *daemon) changeSettings() error {
	text, err := os.ReadFile(d.settingsPath())
	if err != nil {
		return err
	}
	return os.WriteFile(d.settingsPath(), text, 0o600)
}

// hangUpAtStart sends SIGHUP to a process that has just been started. The caller holds the lock.
func (d *daemon) hangUpAtStart() {
	if d.startHangups == nil {
		return
	}
	process, delay := d.process.Process, time.Duration(d.startHangups.Int64N(int64(maxStartHangup)))
	d.supervisors.Go(func() {
		if AwaitStart(process.Pid, syscall.SIGHUP) {
			time.Sleep(delay)
			_ = process.Signal(syscall.SIGHUP) // fails if the process has ended
		}
	})
}

// AwaitStart waits until a process that has just been started has run so much of its program that it has changed
// what a signal does. Before that the kernel alone decides. It reports false if the process has ended.
func AwaitStart(pid int, s syscall.Signal) bool {
	for {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil || bytes.Contains(status, []byte("\nState:\tZ")) {
			return false
		}
		if (maskOf(status, "SigIgn")|maskOf(status, "SigCgt"))&(1<<(s-1)) != 0 {
			return true
		}
		time.Sleep(startCheckInterval)
	}
}

// maskOf returns a signal mask of a status file of the kernel. A mask that is missing is empty.
func maskOf(status []byte, name string) uint64 {
	_, rest, _ := bytes.Cut(status, []byte("\n"+name+":\t"))
	text, _, _ := bytes.Cut(rest, []byte("\n"))
	mask, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return 0
	}
	return mask
}
