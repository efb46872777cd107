package forwarder

import (
	"context"
	"net/netip"
	"time"

	"laburnumline/quarantiner"
	"laburnumline/refuser"
	"laburnumline/registrar"
)

// Quarantine keeps requests that crash upstreams from crashing more.
type Quarantine interface {
	// Empty reports whether nothing is suspected.
	Empty() bool
	Check(now time.Time, d quarantiner.Digest) quarantiner.Verdict
	Begin(now time.Time, d quarantiner.Digest, upstream string)
	End(now time.Time, d quarantiner.Digest, upstream string, crashed bool)
}

// quarantineRetryAfter is when a caller of a quarantined request may come back.
const quarantineRetryAfter = time.Minute

// digest identifies the work of a request, whichever attempt of its caller it is.
func (x *exchange) digest() quarantiner.Digest {
	content := make([]byte, 0, len(x.body)+len(x.request.Target)+len(x.request.Key)+16)
	for _, part := range []string{x.request.Method, x.request.Target, x.request.Key} {
		content = append(append(content, part...), '\n')
	}
	return quarantiner.DigestOf(append(content, x.body...))
}

// checkQuarantine returns a refusal when the request has crashed too many upstreams.
func (x *exchange) checkQuarantine() *refuser.Refusal {
	quarantine := x.forwarder.config.Quarantine
	if quarantine.Empty() || quarantine.Check(time.Now(), x.digest()) != quarantiner.Quarantined {
		return nil
	}
	return refuser.New(refuser.Quarantined, "check").WithRetryAfter(quarantineRetryAfter).
		WithDetail("the request has crashed the upstreams that ran it")
}

// reportCrash blames the request for the end of an upstream that broke off while it ran
// the request and takes no connection any more.
func (x *exchange) reportCrash(name registrar.Name, address netip.AddrPort) {
	digest, config := x.digest(), x.forwarder.config
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if config.Probe(ctx, address) == nil {
			return
		}
		now := time.Now()
		config.Quarantine.Begin(now, digest, string(name))
		config.Quarantine.End(now, digest, string(name), true)
	}()
}

// probeTimeout is how long a broken upstream is tried. A living one answers within some
// round trips.
const probeTimeout = 500 * time.Millisecond
