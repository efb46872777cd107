package forwarder

import (
	"io"
	"net/http"
	"time"

	"laburnumline/admitter"
	"laburnumline/delegator"
	"laburnumline/refuser"
)

// refusedBodyTime is how long a refused caller may go on to send its body before the connection is closed. A
// close with unread bytes resets the connection, and the caller should have read the response by then.
const refusedBodyTime = 2 * time.Second

// Admission decides whether this daemon takes another request.
type Admission interface {
	Admit(now time.Time, r *admitter.Request) admitter.Decision
	// Grow decides whether n more bytes of the body of an admitted request are read, whose length was unknown.
	Grow(now time.Time, r *admitter.Request, n int64) admitter.Decision
	// BodyRead is called once its body has been read, or will not be.
	BodyRead(now time.Time, r *admitter.Request)
	// Done is called once an admitted request has ended.
	Done(now time.Time, r *admitter.Request)
}

// admit asks whether the daemon takes the request. The body has not been read yet.
func (x *exchange) admit() *refuser.Refusal {
	admission := x.forwarder.config.Admission
	if admission == nil {
		return nil
	}
	now := time.Now()
	r := &admitter.Request{Account: x.accountName(), Priority: x.priority(), Length: x.request.Length, TimeLeft: x.deadline.Sub(now)}
	decision := admission.Admit(now, r)
	if !decision.Admitted {
		return lacking(decision)
	}
	x.admitted = r
	return nil
}

// lacking returns the refusal of a request that was not admitted.
func lacking(d admitter.Decision) *refuser.Refusal {
	return refuser.New(refuser.Overloaded, "admit").WithRetryAfter(d.RetryAfter).WithDetail("this daemon lacks %s", d.Resource)
}

const (
	// admittedBodyBytes is what was admitted of a body of unknown length, bodyStepBytes what is admitted at once of the
	// rest.
	admittedBodyBytes = 64 << 10
	bodyStepBytes     = 256 << 10
)

// admittedBody reads a body of unknown length as far as it is admitted. The error is then the refusal.
type admittedBody struct {
	exchange *exchange
	body     io.Reader
	admitted int64 // bytes that may still be read
}

// Read reads a part of the body.
func (b *admittedBody) Read(p []byte) (int, error) {
	if b.admitted <= 0 {
		// A buffer that grows has up to twice the length of its content.
		decision := b.exchange.forwarder.config.Admission.Grow(time.Now(), b.exchange.admitted, 2*bodyStepBytes)
		if !decision.Admitted {
			return 0, lacking(decision)
		}
		b.admitted = bodyStepBytes
	}
	n, err := b.body.Read(p[:min(int64(len(p)), b.admitted)])
	b.admitted -= int64(n)
	return n, err
}

// endAdmission frees what the request has occupied.
func (x *exchange) endAdmission() {
	if x.admitted != nil {
		x.forwarder.config.Admission.Done(time.Now(), x.admitted)
	}
}

// refuseOverloaded ends a request that was not admitted. The connection is closed, so that the caller's next one
// may lead to another daemon. A request that another daemon has delegated is declined.
func (x *exchange) refuseOverloaded(refusal *refuser.Refusal) {
	if x.request.Delegated {
		x.forwarder.config.Recorder.Count("delegator.declined", 1)
		delegator.Decline(x.writer)
		return
	}
	// Only writers in tests do not support deadlines.
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(refusedBodyTime))
	x.writer.Header().Set("Connection", "close")
	x.writeRefusal(refusal)
}
