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

// removedRetention is the time for which removed VMs are remembered.
const removedRetention = 24 * time.Hour

// vmListHistory remembers the lists that were read.
type vmListHistory struct {
	firstRead, lastRead time.Time
	newest              map[contractor.VM]ListedVM
	// removed holds when a VM was first missing from a list after an earlier one had it.
	removed map[contractor.VM]time.Time
}

// update takes in a list that was read at now.
func (l *vmListHistory) update(list []ListedVM, now time.Time) {
	if l.firstRead.IsZero() {
		l.firstRead = now
		l.removed = make(map[contractor.VM]time.Time)
	}
	l.lastRead = now
	previous := l.newest
	l.newest = make(map[contractor.VM]ListedVM, len(list))
	for _, listed := range list {
		l.newest[listed.VM] = listed
		delete(l.removed, listed.VM)
	}
	for vm := range previous {
		if _, ok := l.newest[vm]; !ok {
			l.removed[vm] = now
		}
	}
	for vm, removedAt := range l.removed {
		if now.Sub(removedAt) > removedRetention {
			delete(l.removed, vm)
		}
	}
}

// state returns what the newest list says about a VM.
func (l *vmListHistory) state(vm contractor.VM) VMState {
	if listed, ok := l.newest[vm]; ok {
		if listed.Leaving {
			return VMLeaving
		}
		return VMLive
	}
	if _, ok := l.removed[vm]; ok {
		return VMRemoved
	}
	return VMUnknown
}

// missingFor returns for how long all lists that were read lacked the VM. A time
// without any list does not count beyond the last one.
func (l *vmListHistory) missingFor(vm contractor.VM) time.Duration {
	if _, ok := l.newest[vm]; ok || l.firstRead.IsZero() {
		return 0
	}
	if removedAt, ok := l.removed[vm]; ok {
		return l.lastRead.Sub(removedAt)
	}
	return l.lastRead.Sub(l.firstRead)
}
