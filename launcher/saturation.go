package launcher

import (
	"context"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"laburnumline/admitter"
	"laburnumline/delegator"
)

const (
	// saturatedUtilization is the utilization from which on the link counts as saturated,
	// recoveredUtilization the one below which it counts as recovered. Both exclude protocol
	// headers: payload fills at most about 0.8 of the bandwidth.
	saturatedUtilization = 0.74
	recoveredUtilization = 0.5
	// saturationTime and recoveryTime are how long the utilization has to stay beyond its
	// threshold. The platform checks readiness once a second and sends new connections to other
	// daemons after two failed checks.
	saturationTime = time.Second
	recoveryTime   = 2 * time.Second
	// aftermath is how long after saturation failed connections are still due to it: connectTimeout
	// and a round trip. With a longer one, a link with a short peak each second would hide a partition.
	aftermath = 450 * time.Millisecond
)

// linkSaturation detects that callers send more than the VM's network link carries. The daemon
// then reports that it is not ready, and new connections go to other daemons. Nothing else slows
// the callers down: a request that is refused has been transferred over the link as well.
type linkSaturation struct {
	saturated atomic.Bool
	// lastUnsaturated is when the utilization was last below saturatedUtilization,
	// lastNotRecovered when it was last at or above recoveredUtilization.
	lastUnsaturated, lastNotRecovered time.Time
	// lastPeak is when the utilization was last at or above saturatedUtilization, or nil. It keeps the
	// monotonic reading: after a clock that was set back, the peak would last for as long.
	lastPeak atomic.Pointer[time.Time]
}

// linkMeter measures the fraction of the link's bandwidth that is in use in each direction.
type linkMeter interface{ Utilization() (in, out float64) }

// update records the utilization of the link. It is called a few times a second.
func (s *linkSaturation) update(now time.Time, meter linkMeter) {
	in, out := meter.Utilization()
	utilization := max(in, out)
	if utilization >= saturatedUtilization {
		peak := now // a copy, so that now stays on the stack
		s.lastPeak.Store(&peak)
	}
	if utilization < saturatedUtilization || s.lastUnsaturated.IsZero() {
		s.lastUnsaturated = now
	}
	if utilization >= recoveredUtilization || s.lastNotRecovered.IsZero() {
		s.lastNotRecovered = now
	}
	if now.Sub(s.lastUnsaturated) >= saturationTime {
		s.saturated.Store(true)
	}
	if now.Sub(s.lastNotRecovered) >= recoveryTime {
		s.saturated.Store(false)
	}
}

// load returns the load of the daemon as package delegator distinguishes it. The link counts as saturated only
// until the aftermath of its last peak, which is before the daemon is ready again.
func (s *linkSaturation) load(now time.Time, meter linkMeter) delegator.Load {
	if in, out := meter.Utilization(); max(in, out) >= saturatedUtilization {
		peak := now // a copy, so that now stays on the stack
		s.lastPeak.Store(&peak)
	}
	switch peak := s.lastPeak.Load(); {
	case peak == nil || now.Sub(*peak) >= aftermath:
		return delegator.Usual
	case s.saturated.Load():
		return delegator.Saturated
	}
	return delegator.Peak
}

// ownLoad returns the load of the daemon as package delegator distinguishes it, from its link, CPU and
// descriptors.
func (d *Daemon) ownLoad() delegator.Load {
	now := time.Now()
	load := d.saturation.load(now, d.link)
	strained, limiting := d.admitter.Strained(now, aftermath)
	switch {
	case strained && limiting:
		return delegator.Saturated
	case strained:
		return max(load, delegator.Peak)
	}
	return load
}

// suspectUnreachable reports whether a connection that timed out is due to its upstream. While this daemon is
// overloaded or partitioned from the service, most connections time out. If their upstreams counted as cold, the
// daemon could send few requests after that.
func (d *Daemon) suspectUnreachable(service string) bool {
	return d.ownLoad() == delegator.Usual && d.monitor.Reachable(service)
}

// admissionLimits returns the limits of the VM.
func (s Settings) admissionLimits() admitter.Limits {
	return admitter.Limits{LinkBytesPerSecond: s.LinkBytesPerSecond, Cores: s.Cores, Descriptors: s.Descriptors, Memory: s.MemoryLimit}
}

// observeLoad measures what the daemon uses, until ctx ends.
func (d *Daemon) observeLoad(ctx context.Context) {
	if d.config.Settings.admissionLimits() == (admitter.Limits{}) {
		return
	}
	memory := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	t := time.NewTimer(admitter.SampleInterval)
	defer t.Stop()
	due := time.Now().Add(admitter.SampleInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		// A timer alone is resumed before what waits for the CPU.
		d.admitter.Tick(time.Now())
		runtime.Gosched()
		now := time.Now()
		metrics.Read(memory)
		in, out := d.link.Utilization()
		d.admitter.Observe(now, admitter.Sample{
			Link: max(in, out), RecentLink: d.link.Recent(), TickDelay: now.Sub(due), Descriptors: d.link.Open(),
			Memory: int64(memory[0].Value.Uint64() - memory[1].Value.Uint64()),
		})
		due = time.Now().Add(admitter.SampleInterval)
		t.Reset(admitter.SampleInterval)
	}
}
