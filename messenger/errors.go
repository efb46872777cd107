package messenger

import (
	"errors"
	"fmt"

	"laburnumline/contractor"
)

// Errors of calls that certainly did not reach the peer's handler.
var (
	// ErrBusy means that the peer is running its maximum number of calls.
	ErrBusy = errors.New("peer is busy")
	// ErrClosing means that one of the two daemons is stopping.
	ErrClosing = errors.New("daemon is stopping")
	// ErrTooLarge means that the request exceeds the message size limit.
	ErrTooLarge = errors.New("request is too large")
	// ErrInvalid means that the peer could not decode the request.
	ErrInvalid = errors.New("request is invalid")
)

// IncarnationError means that a call was addressed to an incarnation of a daemon
// other than the running one.
type IncarnationError struct {
	VM        contractor.VM
	Requested contractor.Incarnation
	Running   contractor.Incarnation
}

// Error returns the VM and both incarnations.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("VM %s runs incarnation %d, not %d", e.VM, e.Running, e.Requested)
}

// IdentityError means that the daemon at an address belongs to another VM than
// expected.
type IdentityError struct {
	Expected contractor.VM
	Actual   contractor.VM
}

// Error returns both VMs.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer is VM %q, expected %q", e.Actual, e.Expected)
}

// refusalError returns the error of a call that the peer refused.
func (r *responseFrame) refusalError(to Peer) error {
	switch r.Status {
	case statusWrongIncarnation:
		return &IncarnationError{VM: to.VM, Requested: to.Incarnation, Running: r.Incarnation}
	case statusBusy:
		return ErrBusy
	case statusClosing:
		return ErrClosing
	case statusTooLarge:
		return ErrTooLarge
	}
	return ErrInvalid
}
