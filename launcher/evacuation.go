package launcher

import (
	"context"
	"time"

	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/throttler"
)

const (
	// maxMembersAge is how long after its last contact with the store a daemon relies on the members that
	// it knows. Other daemons remove it from the members after 20 s or more, and divide its share.
	maxMembersAge = 15 * time.Second
	// coldProbeTimeout limits a probe of an upstream that was found unreachable, like a request's dial.
	coldProbeTimeout = connectTimeout
)

// regionOf returns the region of a zone, or an empty name.
func (s Settings) regionOf(zone string) string { return s.Regions[zone] }

// membersCurrent reports whether the other daemons agree with this one about the members of the fleet.
func (d *Daemon) membersCurrent(now time.Time) bool {
	return d.configurationReplicator.Age(now) <= maxMembersAge
}

// warmupOf describes the cold upstreams of a service.
func (d *Daemon) warmupOf(service string) throttler.Warmup {
	table := d.activeTable.Table()
	if table == nil {
		return throttler.Warmup{}
	}
	s, ok := table.Service(resolver.ServiceName(service))
	if !ok {
		return throttler.Warmup{}
	}
	settings := &d.config.Settings
	return throttler.Warmup{
		Duration: s.Warmup, Rate: s.WarmupRate, MaxPerSecond: s.WarmupRate*settings.WarmupOvershoot + settings.WarmupAllowance,
	}
}

// recordWarmup records what a new entry says about the warm-up of its upstream. An upstream that starts
// in a zone that has just returned counts as cold like the others there.
func (d *Daemon) recordWarmup(u *registrar.Upstream, warmup throttler.WarmupStatement) {
	now, start := time.Now(), u.ThrottlerStart()
	d.throttler.RecordWarmup(now, start, warmup)
	if at := d.evacuator.ReturnedAt(u.Zone); !at.IsZero() {
		d.throttler.KeepCold(now, start, at)
	}
}

// keepZoneCold makes the upstreams of a zone that returns count as cold.
func (d *Daemon) keepZoneCold(zone string, at time.Time) {
	for _, u := range d.registrar.InZone(zone) {
		d.throttler.KeepCold(at, u.ThrottlerStart(), at)
	}
}

// refreshUpstreams applies a change of the evacuated zones.
func (d *Daemon) refreshUpstreams() { d.registrar.Refresh() }

// maintainEvacuations ends evacuations that a restored store lacks, and cold times. It probes upstreams that
// were found unreachable, because most daemons of a large fleet may send nothing there to find out.
func (d *Daemon) maintainEvacuations(ctx context.Context, now time.Time) {
	d.evacuator.Expire()
	if d.activeTable.Table() == nil {
		return
	}
	d.throttler.ExpireCold(now)
	if d.saturation.saturated.Load() {
		return
	}
	for _, s := range d.throttler.Unreached(now) {
		go d.probeUnreached(ctx, s)
	}
}

// probeUnreached opens a connection to an upstream and closes it.
func (d *Daemon) probeUnreached(ctx context.Context, s throttler.Start) {
	ctx, cancel := context.WithTimeout(ctx, coldProbeTimeout)
	defer cancel()
	if d.probeUpstream(ctx, s.Address) == nil {
		d.throttler.MarkReached(time.Now(), s.ID)
	}
}
