package tracker

import (
	"context"
	"net/netip"
	"time"

	"laburnumline/contractor"
)

// ListedVM is one VM of the platform's list.
type ListedVM struct {
	VM   contractor.VM
	Zone contractor.Zone
	// Address is where a daemon on the VM would listen. It may be invalid.
	Address netip.AddrPort
	Leaving bool
}

// Lister reads the platform's list of VMs. The list may lag behind.
type Lister interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// VMState is what the platform's list says about a VM.
type VMState uint8

const (
	// VMUnknown means that no list had the VM so far.
	VMUnknown VMState = iota
	// VMLive means that the newest list has the VM.
	VMLive
	// VMLeaving means that the newest list has the VM as leaving.
	VMLeaving
	// VMRemoved means that an earlier list had the VM and the newest does not.
	VMRemoved
)

// removedLimit is the time for which removed VMs are remembered.
const removedLimit = 24 * time.Hour

// listing remembers the lists that were read.
type listing struct {
	first, last time.Time
	current     map[contractor.VM]ListedVM
	// removed holds when a VM was first missing from a list after an earlier one had it.
	removed map[contractor.VM]time.Time
}

// update takes in a list that was read at now.
func (l *listing) update(list []ListedVM, now time.Time) {
	if l.first.IsZero() {
		l.first = now
		l.removed = make(map[contractor.VM]time.Time)
	}
	l.last = now
	previous := l.current
	l.current = make(map[contractor.VM]ListedVM, len(list))
	for _, x := range list {
		l.current[x.VM] = x
		delete(l.removed, x.VM)
	}
	for vm := range previous {
		if _, ok := l.current[vm]; !ok {
			l.removed[vm] = now
		}
	}
	for vm, at := range l.removed {
		if now.Sub(at) > removedLimit {
			delete(l.removed, vm)
		}
	}
}

// state returns what the newest list says about a VM.
func (l *listing) state(vm contractor.VM) VMState {
	if x, ok := l.current[vm]; ok {
		if x.Leaving {
			return VMLeaving
		}
		return VMLive
	}
	if _, ok := l.removed[vm]; ok {
		return VMRemoved
	}
	return VMUnknown
}

// absent returns for how long all lists that were read lacked the VM. A time
// without any list does not count beyond the last one.
func (l *listing) absent(vm contractor.VM) time.Duration {
	if _, ok := l.current[vm]; ok || l.first.IsZero() {
		return 0
	}
	if at, ok := l.removed[vm]; ok {
		return l.last.Sub(at)
	}
	return l.last.Sub(l.first)
}
