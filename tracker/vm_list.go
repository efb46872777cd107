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
	// Address is where a daemon on the VM would listen. It is invalid if the list
	// has no address.
	Address netip.AddrPort
	Leaving bool
}

// Lister reads the platform's list of VMs. The list may lag behind.
type Lister interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// VMState is the state of a VM in the platform's list.
type VMState uint8

const (
	// VMUnknown means that no list has had the VM within removedRetention.
	VMUnknown VMState = iota
	// VMLive means that the newest list has the VM, and not as leaving.
	VMLive
	// VMLeaving means that the newest list has the VM as leaving.
	VMLeaving
	// VMRemoved means that an earlier list had the VM and the newest does not.
	VMRemoved
)

// removedRetention is the time for which removed VMs are remembered.
const removedRetention = 24 * time.Hour

// vmListHistory holds the newest list, and the VMs that were removed from earlier
// ones.
type vmListHistory struct {
	firstRead, lastRead time.Time
	newest              map[contractor.VM]ListedVM
	// removed holds the time of the first list that lacked a VM after an earlier
	// one had it.
	removed map[contractor.VM]time.Time
}

// update adds a list that was read at now.
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

// missingFor returns for how long all lists that were read have lacked the VM. The
// time after the last list does not count.
func (l *vmListHistory) missingFor(vm contractor.VM) time.Duration {
	if _, ok := l.newest[vm]; ok || l.firstRead.IsZero() {
		return 0
	}
	if removedAt, ok := l.removed[vm]; ok {
		return l.lastRead.Sub(removedAt)
	}
	return l.lastRead.Sub(l.firstRead)
}
