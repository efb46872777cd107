package executor

import (
	"context"
	"errors"
	"net/http"

	"laburnumline/dispatcher"
	"laburnumline/refuser"
	"laburnumline/retrier"
	"laburnumline/router"
)

func crashed(err error) bool {
	var f *dispatcher.Failure
	return errors.As(err, &f) && f.Crashed
}

// crashedWithRequest reports whether the upstream crashed after it was sent the request.
func crashedWithRequest(err error) bool { return crashed(err) && !notSent(err) }

func notSent(err error) bool {
	var f *dispatcher.Failure
	return errors.As(err, &f) && f.Phase == dispatcher.NotSent
}

// overloaded reports whether the upstream rejected an attempt because of its load.
func overloaded(err error) bool {
	var f *dispatcher.Failure
	if !errors.As(err, &f) {
		return false
	}
	return f.Status == http.StatusTooManyRequests || f.Status == http.StatusServiceUnavailable
}

// retryFailure describes the failed attempt of a repeatable and resumable request.
func retryFailure(f *dispatcher.Failure) retrier.Failure {
	return retrier.Failure{
		Phase:        retryPhase(f.Phase),
		UpstreamDown: f.Crashed,
		Overloaded:   overloaded(f),
		Repeatable:   true,
		Resumable:    true,
	}
}

func retryPhase(p dispatcher.Phase) retrier.Phase {
	switch p {
	case dispatcher.NotSent:
		return retrier.NotSent
	case dispatcher.NoResponse:
		return retrier.NoResponse
	}
	return retrier.Partial
}

func routeOutcome(ctx context.Context, err error) router.Outcome {
	switch {
	case err == nil:
		return router.Succeeded
	case errors.Is(err, errCallerDisconnected), errors.Is(ctx.Err(), context.Canceled):
		return router.Abandoned
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return router.TimedOut
	case crashed(err):
		return router.Crashed
	case overloaded(err):
		return router.Overloaded
	}
	return router.Failed
}

// cancelReason returns DeadlineExceeded if the deadline has passed and Cancelled if the
// caller has disconnected.
func cancelReason(ctx context.Context) refuser.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.DeadlineExceeded
	}
	return refuser.Cancelled
}
