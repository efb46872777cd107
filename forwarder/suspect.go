package forwarder

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/registrar"
)

// Quarantine blocks requests and prompt parts that have crashed upstreams.
type Quarantine interface {
	// Empty reports whether no request or part is known to have crashed an upstream.
	Empty() bool
	Check(now time.Time, d quarantiner.Digest) quarantiner.Verdict
	WasQuarantined(d quarantiner.Digest) bool
	Begin(now time.Time, d quarantiner.Digest, upstream string)
	End(now time.Time, d quarantiner.Digest, upstream string, crashed bool)
	CheckParts(now time.Time, parts []quarantiner.Digest) (quarantiner.Digest, quarantiner.Verdict)
	PartsCrashed(now time.Time, parts []quarantiner.Digest, upstream string)
	PartsServed(now time.Time, parts []quarantiner.Digest)
}

// Permits grants the fleet's permits to execute a request with a suspected part, or one that has been quarantined. Lift ends
// the suspicion against a request that has been served.
type Permits interface {
	Lift(ctx context.Context, d quarantiner.Digest) error
	Permit(ctx context.Context, d quarantiner.Digest, parts ...quarantiner.Digest) (*quarantiner.Permit, error)
}

const (
	// quarantineRetryAfter is the Retry-After of quarantined requests.
	quarantineRetryAfter = time.Minute
	// permitEndTimeout limits the call to the store that ends a permit.
	permitEndTimeout = 2 * time.Second
	// probeTimeout limits the probe of an upstream that lost its connection. A live upstream
	// accepts a connection within a few round trips.
	probeTimeout = 500 * time.Millisecond
)

// digest identifies the content of a request. Retries of the caller have the same digest.
func (x *exchange) digest() quarantiner.Digest {
	content := make([]byte, 0, len(x.body)+len(x.request.Target)+len(x.request.Key)+16)
	for _, part := range []string{x.request.Method, x.request.Target, x.request.Key} {
		content = append(append(content, part...), '\n')
	}
	return quarantiner.DigestOf(append(content, x.body...))
}

// sharedParts returns the digests of the prompt parts that other requests may share: all but
// the last.
func (x *exchange) sharedParts() []quarantiner.Digest {
	parts := x.request.PromptParts
	if !x.service.Engine || len(parts) < 2 {
		return nil
	}
	digests := make([]quarantiner.Digest, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		digests = append(digests, quarantiner.PartDigest(p.ID))
	}
	return digests
}

// checkQuarantine returns a refusal if the request, or a part of its prompt, has crashed too
// many upstreams.
func (x *exchange) checkQuarantine(ctx context.Context) *refuser.Refusal {
	quarantine, now := x.forwarder.config.Quarantine, time.Now()
	if quarantine.Empty() {
		return nil
	}
	digest := x.digest()
	switch verdict := quarantine.Check(now, digest); {
	case verdict == quarantiner.Quarantined:
		return quarantineRefusal("the request has crashed the upstreams that ran it")
	case verdict == quarantiner.Suspect && x.permit == nil && quarantine.WasQuarantined(digest):
		if refusal := x.requestPermit(ctx, digest); refusal != nil {
			return refusal
		}
		x.permitsRequest = x.permit != nil
	}
	part, verdict := quarantine.CheckParts(now, x.sharedParts())
	switch {
	case verdict == quarantiner.Quarantined:
		return quarantineRefusal(quarantinedPartDetail)
	case verdict == quarantiner.Suspect && x.permit == nil:
		return x.requestPermit(ctx, part)
	}
	return nil
}

const quarantinedPartDetail = "requests with a part of the prompt have crashed the upstreams that ran them"

func quarantineRefusal(detail string) *refuser.Refusal {
	return refuser.New(refuser.Quarantined, "check").WithRetryAfter(quarantineRetryAfter).WithDetail("%s", detail)
}

// requestPermit obtains the permit to execute a suspected request, or one with a suspected part.
func (x *exchange) requestPermit(ctx context.Context, suspect quarantiner.Digest) *refuser.Refusal {
	permit, err := x.forwarder.config.Permits.Permit(ctx, suspect, x.sharedParts()...)
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if err != nil {
		return refuser.New(refuser.Internal, "permit").WithCause(err)
	}
	x.permit = permit
	return nil
}

// endPermit releases the permit. The suspect is cleared if the request was served.
func (x *exchange) endPermit() {
	if x.permit == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitEndTimeout)
	defer cancel()
	err := error(nil)
	if x.permitsRequest {
		err = x.endRequestPermit(ctx)
	} else {
		err = x.permit.End(ctx, string(x.permitUpstream), !x.served && x.permitUpstream != "")
	}
	if err != nil {
		x.forwarder.config.Recorder.Event(recorder.QuarantineNotStored, "id", x.request.ID, "err", err)
	}
}

// endRequestPermit releases the permit of a whole request. It shared its upstream with others, so only reportCrash
// attributes a crash to it. Without an answer it is a suspect anew, as of its permit.
func (x *exchange) endRequestPermit(ctx context.Context) error {
	if err := x.permit.End(ctx, "", false); err != nil || !x.served {
		return err
	}
	return x.forwarder.config.Permits.Lift(ctx, x.digest())
}

// recordOutput refutes crashes that were attributed to the parts of the prompt, once the
// current attempt has produced output for quarantiner.OutputTime.
func (x *exchange) recordOutput() {
	now := time.Now()
	if x.firstOutput.IsZero() {
		x.firstOutput = now
	}
	if now.Sub(x.firstOutput) >= quarantiner.OutputTime {
		x.recordServed(now)
	}
}

// recordServed records, once per attempt, that the request did not crash its upstream. The end
// of a long stream says nothing about crashes since its output began.
func (x *exchange) recordServed(now time.Time) {
	if x.served {
		return
	}
	x.served = true
	if quarantine := x.forwarder.config.Quarantine; !quarantine.Empty() {
		quarantine.PartsServed(now, x.sharedParts())
	}
}

// reportCrash probes an upstream that lost its connection while it executed the request,
// after a number of events. If the upstream accepts no connection, the crash is attributed
// to the request, and to the parts of its prompt unless they have been served. If the others of its service
// accept none either, it is this daemon that has lost its connections.
func (x *exchange) reportCrash(upstream registrar.Upstream, events int64) {
	digest, config, id, service := x.digest(), x.forwarder.config, x.request.ID, x.service.Name
	parts, partIDs := x.sharedParts(), x.partIDs()
	if x.served {
		parts = nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		err := config.Probe(ctx, upstream.Address)
		if err == nil {
			return
		}
		if config.Reachability != nil && !config.Reachability.OthersReachable(string(service), upstream.Address) {
			config.Recorder.Count("crash_not_attributed", 1)
			return
		}
		config.Recorder.Event(recorder.UpstreamCrashed, "id", id, "upstream", upstream.Name, "digest", digest,
			"events", events, "suspected", len(parts) > 0, "parts", partIDs, "err", err)
		now := time.Now()
		config.Quarantine.Begin(now, digest, string(upstream.Name))
		config.Quarantine.End(now, digest, string(upstream.Name), true)
		config.Quarantine.PartsCrashed(now, parts, string(upstream.Name))
	}()
}

// partIDs returns the IDs of the prompt parts in hexadecimal.
func (x *exchange) partIDs() string {
	var b strings.Builder
	for i, p := range x.request.PromptParts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(p.ID, 16))
	}
	return b.String()
}
