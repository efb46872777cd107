package forwarder

import (
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
		return refuser.New(refuser.Overloaded, "admit").WithRetryAfter(decision.RetryAfter).WithDetail("this daemon lacks %s", decision.Resource)
	}
	x.admitted = r
	return nil
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
