package launcher

import "net/netip"

// Offsets of the internal ports from the first one, which relays use. The ports are the same on all VMs.
const (
	transferPortOffset = 1
	streamPortOffset   = 2
	delegatePortOffset = 3
)

// internalHeaderBytes limits the headers of requests of other daemons, the platform and operators. What daemons send each
// other is in the bodies.
const internalHeaderBytes = 64 << 10

// internalAddress returns the address of an internal port. It is the zero value if the platform gives too few
// ports.
func (s Settings) internalAddress(offset uint16) netip.AddrPort {
	if !s.InternalAddress.IsValid() || s.LastInternalPort < s.InternalAddress.Port()+offset {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(s.InternalAddress.Addr(), s.InternalAddress.Port()+offset)
}

// peersAt returns the addresses of the other daemons at an internal port, or none if there is no such port.
func (d *Daemon) peersAt(offset uint16) []netip.AddrPort {
	own := d.config.Settings.internalAddress(offset)
	if !own.IsValid() {
		return nil
	}
	peers := d.shares.Peers()
	for i, a := range peers {
		peers[i] = netip.AddrPortFrom(a.Addr(), own.Port())
	}
	return peers
}
