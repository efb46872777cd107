package forwarder

import (
	"context"
	"strconv"
	"strings"
	"time"

	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/registrar"
)

// Quarantine blocks requests that have crashed upstreams.
type Quarantine interface {
	// Empty reports whether no request is known to have crashed an upstream.
	Empty() bool
	Check(now time.Time, d quarantiner.Digest) quarantiner.Verdict
	Begin(now time.Time, d quarantiner.Digest, upstream string)
	End(now time.Time, d quarantiner.Digest, upstream string, crashed bool)
}

// quarantineRetryAfter is the Retry-After of quarantined requests.
const quarantineRetryAfter = time.Minute

// digest identifies the content of a request. Retries of the caller have the same digest.
func (x *exchange) digest() quarantiner.Digest {
	content := make([]byte, 0, len(x.body)+len(x.request.Target)+len(x.request.Key)+16)
	for _, part := range []string{x.request.Method, x.request.Target, x.request.Key} {
		content = append(append(content, part...), '\n')
	}
	return quarantiner.DigestOf(append(content, x.body...))
}

// checkQuarantine returns a refusal if the request has crashed too many upstreams.
func (x *exchange) checkQuarantine() *refuser.Refusal {
	quarantine := x.forwarder.config.Quarantine
	if quarantine.Empty() || quarantine.Check(time.Now(), x.digest()) != quarantiner.Quarantined {
		return nil
	}
	return refuser.New(refuser.Quarantined, "check").WithRetryAfter(quarantineRetryAfter).
		WithDetail("the request has crashed the upstreams that ran it")
}

// reportCrash probes an upstream that lost its connection while it executed the request,
// after a number of events. If the upstream accepts no connection, the crash is attributed
// to the request.
func (x *exchange) reportCrash(upstream registrar.Upstream, events int64) {
	digest, config, parts := x.digest(), x.forwarder.config, x.partIDs()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		err := config.Probe(ctx, upstream.Address)
		if err == nil {
			return
		}
		config.Recorder.Event(recorder.UpstreamCrashed, "id", x.request.ID, "upstream", upstream.Name, "digest", digest,
			"events", events, "parts", parts, "err", err)
		now := time.Now()
		config.Quarantine.Begin(now, digest, string(upstream.Name))
		config.Quarantine.End(now, digest, string(upstream.Name), true)
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

// probeTimeout limits the probe of an upstream that lost its connection. A live upstream
// accepts a connection within a few round trips.
const probeTimeout = 500 * time.Millisecond
