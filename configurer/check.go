package configurer

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"laburnumline/contractor"
)

const (
	maxDuration  = 24 * time.Hour
	maxRetention = 365 * 24 * time.Hour
	// maxClockDrift is the largest value of the setting for the drift between two clocks,
	// as a fraction.
	maxClockDrift = 0.1
	// maxStoredValue is the size of the largest value in the store. Messages between
	// daemons must be able to hold it.
	maxStoredValue = MiB
)

// check records a problem for each value that is missing, out of range, contradicts
// another value or names an unusable file.
func check(s *Settings, f *settingsFile) {
	f.checkNames(s)
	f.checkAddresses(s)
	f.checkRanges(s)
	f.checkConsistency(s)
	f.checkOperators(s)
	f.checkFiles(s)
}

func (f *settingsFile) checkNames(s *Settings) {
	const rule = "allowed: 1 to 64 characters of a-z, 0-9, '-', '.' and '_'"
	for _, c := range []struct{ key, value string }{
		{"vm", string(s.Daemon.VM)},
		{"zone", string(s.Daemon.Zone)},
		{"region", string(s.Daemon.Region)},
	} {
		if !contractor.ValidName(c.value) {
			f.addProblem(settingPath{"daemon", c.key}, c.value, rule)
		}
	}
}

func (f *settingsFile) checkAddresses(s *Settings) {
	listeners := []struct {
		key     string
		address netip.AddrPort
	}{
		{"callers", s.Listen.Callers.AddrPort},
		{"operators", s.Listen.Operators.AddrPort},
		{"daemons", s.Listen.Daemons.AddrPort},
	}
	for i, l := range listeners {
		p := settingPath{"listen", l.key}
		if !l.address.IsValid() {
			f.addProblem(p, "", "is required")
		}
		for _, other := range listeners[:i] {
			if l.address.IsValid() && l.address.Port() != 0 && l.address == other.address {
				f.addProblem(p, l.address, "is also the address for "+other.key)
			}
		}
	}
	daemonsAddress := s.Listen.Daemons.AddrPort
	if !s.Listen.Advertise.IsValid() && daemonsAddress.IsValid() && daemonsAddress.Addr().IsUnspecified() {
		f.addProblem(settingPath{"listen", "daemons"}, daemonsAddress, "is every address of the VM, so advertise is required")
	}
	if s.Listen.Advertise.IsValid() && s.Listen.Advertise.Addr().IsUnspecified() {
		f.addProblem(settingPath{"listen", "advertise"}, s.Listen.Advertise, "is no address that other daemons can reach")
	}
	if len(s.Store.Endpoints) == 0 {
		f.addProblem(settingPath{"store", "endpoint"}, "", "at least one is required")
	}
	if s.VMList.URL.URL == nil {
		f.addProblem(settingPath{"vmlist", "url"}, "", "is required")
	}
}

// checkRange records a problem if value is not between minimum and maximum.
func checkRange[T cmp.Ordered](f *settingsFile, section, key string, value, minimum, maximum T) {
	if value >= minimum && value <= maximum {
		return
	}
	f.addProblem(settingPath{section, key}, value, fmt.Sprintf("allowed: %v to %v", minimum, maximum))
}

func (f *settingsFile) checkRanges(s *Settings) {
	for _, c := range []struct {
		section, key            string
		value, minimum, maximum time.Duration
	}{
		{"store", "timeout", s.Store.Timeout, 10 * time.Millisecond, time.Minute},
		{"vmlist", "period", s.VMList.Period, 100 * time.Millisecond, time.Minute},
		{"vmlist", "lag", s.VMList.Lag, time.Second, time.Hour},
		{"tls", "reload", s.TLS.Reload, 100 * time.Millisecond, maxDuration},
		{"membership", "probe", s.Membership.Probe, 10 * time.Millisecond, time.Minute},
		{"membership", "timeout", s.Membership.Timeout, time.Millisecond, time.Minute},
		{"membership", "suspect", s.Membership.Suspect, 10 * time.Millisecond, time.Minute},
		{"budgets", "horizon", s.Budgets.Horizon, time.Second, maxDuration},
		{"budgets", "flush", s.Budgets.Flush, 10 * time.Millisecond, time.Minute},
		{"budgets", "term", s.Budgets.Term, time.Minute, maxDuration},
		{"budgets", "dispatch_window", s.Budgets.DispatchWindow, 10 * time.Millisecond, time.Minute},
		{"budgets", "longest_request", s.Budgets.LongestRequest, time.Second, maxDuration},
		{"requests", "default_deadline", s.Requests.DefaultDeadline, 100 * time.Millisecond, time.Hour},
		{"requests", "longest_deadline", s.Requests.LongestDeadline, 100 * time.Millisecond, time.Hour},
		{"claims", "keep_answers", s.Claims.KeepAnswers, time.Minute, maxRetention},
		{"claims", "keep_claims", s.Claims.KeepClaims, time.Minute, maxRetention},
		{"stop", "grace", s.Stop.Grace, 0, maxDuration},
		{"stale", "after", s.Stale.After, time.Second, maxDuration},
	} {
		checkRange(f, c.section, c.key, c.value, c.minimum, c.maximum)
	}
	for _, c := range []struct {
		key                     string
		value, minimum, maximum Size
	}{
		{"body", s.Limits.Body, KB, GB},
		{"header", s.Limits.Header, KB, 16 * MB},
		{"message", s.Limits.Message, maxStoredValue, GB},
		{"queue_bytes", s.Limits.QueueBytes, KB, 64 * GB},
		{"memory", s.Limits.Memory, 32 * MB, 1000 * GB},
	} {
		checkRange(f, "limits", c.key, c.value, c.minimum, c.maximum)
	}
	checkRange(f, "store", "reads_per_second", s.Store.Reads, 0.1, 10000)
	checkRange(f, "store", "writes_per_second", s.Store.Writes, 0.1, 10000)
	checkRange(f, "budgets", "drift", s.Budgets.Drift, 0, maxClockDrift)
	checkRange(f, "limits", "queue", s.Limits.Queue, 1, 1_000_000)
	checkRange(f, "requests", "max_output", s.Requests.MaxOutput, 1, 10_000_000)
	checkRange(f, "requests", "retries", s.Requests.Retries, 0, 10)
	checkRange(f, "log", "level", s.Log.Level, 0, 10)
}

// checkConsistency records a problem for each pair of values that contradict each other.
func (f *settingsFile) checkConsistency(s *Settings) {
	for _, c := range []struct {
		section, key string
		value        any
		rule         string
		limit        any
		ok           bool
	}{
		{"requests", "longest_deadline", s.Requests.LongestDeadline, "not less than requests.default_deadline", s.Requests.DefaultDeadline,
			s.Requests.LongestDeadline >= s.Requests.DefaultDeadline},
		{"budgets", "longest_request", s.Budgets.LongestRequest, "not less than requests.longest_deadline", s.Requests.LongestDeadline,
			s.Budgets.LongestRequest >= s.Requests.LongestDeadline},
		{"stop", "grace", s.Stop.Grace, "not less than requests.longest_deadline", s.Requests.LongestDeadline,
			s.Stop.Grace >= s.Requests.LongestDeadline},
		{"budgets", "term", s.Budgets.Term, "more than budgets.longest_request", s.Budgets.LongestRequest,
			s.Budgets.Term > s.Budgets.LongestRequest},
		{"budgets", "dispatch_window", s.Budgets.DispatchWindow, "less than requests.default_deadline", s.Requests.DefaultDeadline,
			s.Budgets.DispatchWindow < s.Requests.DefaultDeadline},
		{"budgets", "flush", s.Budgets.Flush, "not more than budgets.horizon", s.Budgets.Horizon,
			s.Budgets.Flush <= s.Budgets.Horizon},
		{"vmlist", "lag", s.VMList.Lag, "not less than vmlist.period", s.VMList.Period,
			s.VMList.Lag >= s.VMList.Period},
		{"claims", "keep_claims", s.Claims.KeepClaims, "not less than claims.keep_answers", s.Claims.KeepAnswers,
			s.Claims.KeepClaims >= s.Claims.KeepAnswers},
		{"membership", "timeout", s.Membership.Timeout, "not more than membership.probe", s.Membership.Probe,
			s.Membership.Timeout <= s.Membership.Probe},
		{"membership", "suspect", s.Membership.Suspect, "not less than membership.probe", s.Membership.Probe,
			s.Membership.Suspect >= s.Membership.Probe},
		{"limits", "queue_bytes", s.Limits.QueueBytes, "not less than limits.body", s.Limits.Body,
			s.Limits.QueueBytes >= s.Limits.Body},
		{"limits", "memory", s.Limits.Memory, "more than limits.queue_bytes", s.Limits.QueueBytes,
			s.Limits.Memory > s.Limits.QueueBytes},
	} {
		if !c.ok {
			f.addProblem(settingPath{c.section, c.key}, c.value, fmt.Sprintf("allowed: %s (%v)", c.rule, c.limit))
		}
	}
}

func (f *settingsFile) checkOperators(s *Settings) {
	names := make(map[string]bool)
	for _, o := range s.Operators.Operators {
		if names[o.Name] {
			f.addProblem(settingPath{"operators", "operator"}, o.Name, "the name is given twice")
		}
		names[o.Name] = true
	}
}
