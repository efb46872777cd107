package forwarder

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"laburnumline/pinner"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/resolver"
)

// softwareRetryAfter is the Retry-After when the software version of a stream is not known. The
// list of upstreams is current again soon after the store is reachable.
const softwareRetryAfter = time.Second

// SoftwareChecker knows which software versions were stored before a request arrived.
type SoftwareChecker interface {
	// Check returns nil once Upstreams.SoftwareVersions has all versions that were stored before a time.
	Check(ctx context.Context, before time.Time) error
}

// findSoftware finds the software version that began a stream which the caller resumes. The
// request is refused if the version may be another than that of the upstreams.
func (x *exchange) findSoftware(ctx context.Context) *refuser.Refusal {
	r := x.request
	if x.route.Repeatability != resolver.Stream || r.ResumeAfter == "" {
		return nil
	}
	versions, several := x.lookUpSoftware(ctx)
	if x.softwareKnown {
		return nil
	}
	err := error(nil)
	if !several && x.forwarder.config.Software != nil {
		// A version that is new to this daemon may have begun the stream.
		if err = x.forwarder.config.Software.Check(ctx, r.ReceivedAt); err == nil {
			versions, several = x.softwareVersions()
		}
		if several {
			versions, several = x.lookUpSoftware(ctx)
		}
		if x.softwareKnown {
			return nil
		}
	}
	if several || err != nil {
		return refuser.New(refuser.SoftwareUnknown, "resume").WithRetryAfter(softwareRetryAfter).WithCause(err).
			WithDetail("the upstream version that began stream %q is not known, versions %q may have", r.Resumes, versions)
	}
	x.software, x.softwareKnown = versions[0], true
	return nil
}

// lookUpSoftware asks the daemons for the version that began the stream which the caller resumes. It returns the
// versions that may have, and reports whether these may be others than a single one.
func (x *exchange) lookUpSoftware(ctx context.Context) (versions []string, several bool) {
	versions, several = x.softwareVersions()
	if resumes := x.request.Resumes; resumes != "" {
		x.software, x.softwareKnown = x.forwarder.config.Streams.Lookup(ctx, pinner.StreamOf(resumes), several)
	}
	return versions, several
}

// softwareVersions returns the software versions that may have begun a stream of the route, which may have been at
// any service of its traffic split, and reports whether these may be others than a single one.
func (x *exchange) softwareVersions() (versions []string, several bool) {
	upstreams := x.forwarder.config.Upstreams
	versions, complete := upstreams.SoftwareVersions(x.service.Name)
	for _, other := range x.route.TrafficSplit {
		if other.Weight <= 0 || other.Service == x.service.Name {
			continue
		}
		more, known := upstreams.SoftwareVersions(other.Service)
		versions, complete = append(versions, more...), complete && known
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	return versions, !complete || len(versions) != 1
}

// pinSoftware keeps the stream at the software version of its first event, here and at other
// daemons.
func (x *exchange) pinSoftware() {
	if x.attemptEvents == 0 || x.pinned {
		return
	}
	x.pinned = true
	if !x.softwareKnown {
		x.software, x.softwareKnown = x.upstream.Software, true
	}
	first := x.firstAttempt()
	if first == "" {
		return
	}
	_, several := x.softwareVersions()
	x.forwarder.config.Streams.Pin(pinner.StreamOf(first), x.software, several)
}

// firstAttempt returns the caller's attempt that received the first event of the stream, or may receive it. It is empty if the
// caller does not name it.
func (x *exchange) firstAttempt() string {
	if x.request.ResumeAfter != "" {
		return x.request.Resumes
	}
	return x.request.ID
}

// errNotAssigned means that a request was not sent to an upstream of another software version, because that could
// not be recorded.
var errNotAssigned = errors.New("the software version of the stream cannot be recorded")

// assignSoftware records the software version of the upstream to which the request for a stream is sent next. An error
// means that it must not be sent.
func (x *exchange) assignSoftware(ctx context.Context, u *registrar.Upstream) error {
	if !x.isResumable() || x.unassignable || x.isAssigned && x.assigned == u.Software {
		return nil
	}
	if err := x.forwarder.config.Streams.Assign(ctx, pinner.StreamOf(x.firstAttempt()), u.Software); err != nil {
		return fmt.Errorf("%w: %w", errNotAssigned, err)
	}
	x.assigned, x.isAssigned = u.Software, true
	return nil
}

// withdrawAssignment records that another daemon sends the request, perhaps to another software version. An error means
// that it must not.
func (x *exchange) withdrawAssignment(ctx context.Context) error {
	if !x.isAssigned {
		return nil
	}
	x.isAssigned = false
	_, several := x.softwareVersions()
	return x.forwarder.config.Streams.Withdraw(ctx, pinner.StreamOf(x.firstAttempt()), several)
}

// sendToSeveralVersions prepares for a second send of the request to an upstream of another version than the first. It
// reports false if that cannot be recorded at once.
func (x *exchange) sendToSeveralVersions() bool {
	if !x.isAssigned {
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the first send is in flight, so nothing is awaited
	if err := x.forwarder.config.Streams.Withdraw(ctx, pinner.StreamOf(x.firstAttempt()), true); err != nil {
		return false
	}
	x.isAssigned, x.unassignable = false, true
	return true
}

// isResumable reports whether the caller may resume the stream that the request begins or continues.
func (x *exchange) isResumable() bool {
	return x.route.Repeatability == resolver.Stream && x.route.Resumable && x.firstAttempt() != ""
}

// ofAssignedSoftware returns those of some upstreams that have the version to which the request was sent before.
func (x *exchange) ofAssignedSoftware(all []registrar.Upstream) []registrar.Upstream {
	var same []registrar.Upstream
	for _, u := range all {
		if u.Software == x.assigned {
			same = append(same, u)
		}
	}
	return same
}

// candidates returns the upstreams that may run the request: those of its service, for a stream that
// has begun those of its software version, for one that was sent before those of the same version and for a new one those
// whose version is stored, unless all of
// these have failed it, and for a request with homes those in its regions.
func (x *exchange) candidates() []registrar.Upstream {
	permitted := x.permitted(x.forwarder.config.Upstreams.Of(x.service.Name))
	if x.softwareKnown || x.route.Repeatability != resolver.Stream {
		return permitted
	}
	if x.isAssigned {
		if same := x.ofAssignedSoftware(permitted); x.anyUntried(same) {
			return same
		}
	}
	return x.recordedCandidates(permitted)
}

// anyUntried reports whether an upstream has not failed the request yet.
func (x *exchange) anyUntried(list []registrar.Upstream) bool {
	return slices.ContainsFunc(list, func(u registrar.Upstream) bool { return !slices.Contains(x.tried, u.Name) })
}

func (x *exchange) recordedCandidates(all []registrar.Upstream) []registrar.Upstream {
	recorded := x.forwarder.config.Upstreams.WithRecordedSoftware(x.service.Name, all)
	if len(recorded) == len(all) {
		return all
	}
	if !x.anyUntried(recorded) {
		x.forwarder.config.Recorder.Count("forwarder.software_unrecorded", 1)
		return all
	}
	x.forwarder.config.Recorder.Count("forwarder.software_avoided", 1)
	return recorded
}
