package forwarder

import (
	"context"
	"time"

	"laburnumline/pinner"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/resolver"
)

// softwareRetryAfter is the Retry-After when the software version of a stream is not known. The
// list of upstreams is current again soon after the store is reachable.
const softwareRetryAfter = time.Second

// findSoftware finds the software version that began a stream which the caller resumes. The
// request is refused if the version may be another than that of the upstreams.
func (x *exchange) findSoftware(ctx context.Context) *refuser.Refusal {
	r := x.request
	if x.route.Repeatability != resolver.Stream || r.ResumeAfter == "" {
		return nil
	}
	versions, complete := x.forwarder.config.Upstreams.SoftwareVersions(x.service.Name)
	several := !complete || len(versions) > 1
	if r.Resumes != "" {
		if x.software, x.softwareKnown = x.forwarder.config.Streams.Lookup(ctx, pinner.StreamOf(r.Resumes), several); x.softwareKnown {
			return nil
		}
	}
	if several {
		return refuser.New(refuser.SoftwareUnknown, "resume").WithRetryAfter(softwareRetryAfter).
			WithDetail("the upstream version that began stream %q is not known, versions %q may have, list complete: %t", r.Resumes, versions, complete)
	}
	if len(versions) == 1 {
		x.software, x.softwareKnown = versions[0], true
	}
	return nil
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
	first := x.request.ID
	if x.request.ResumeAfter != "" {
		if first = x.request.Resumes; first == "" {
			return
		}
	}
	versions, complete := x.forwarder.config.Upstreams.SoftwareVersions(x.service.Name)
	x.forwarder.config.Streams.Pin(pinner.StreamOf(first), x.software, !complete || len(versions) > 1)
}

// candidates returns the upstreams that may run the request: those of its service, for a stream that
// has begun those of its software version, and for a request with homes those in its regions.
func (x *exchange) candidates() []registrar.Upstream {
	return x.permitted(x.forwarder.config.Upstreams.Of(x.service.Name))
}
