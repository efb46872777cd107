package launcher

import (
	"context"
	"net"
	"net/netip"
	"time"

	"laburnumline/apportioner"
	"laburnumline/pinner"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

// streamAddress returns the address for messages about streams between daemons. The zero value
// means that there are none.
func (s Settings) streamAddress() netip.AddrPort { return s.internalAddress(streamPortOffset) }

// streamPeers returns the addresses of the other daemons for messages about streams.
func (d *Daemon) streamPeers() []netip.AddrPort { return d.peersAt(streamPortOffset) }

// serveStreams receives messages about streams until ctx ends.
func (d *Daemon) serveStreams(ctx context.Context) error {
	address := d.config.Settings.streamAddress()
	if !address.IsValid() {
		return nil
	}
	conn, err := listenUntilFree(ctx, d.config.Recorder, "streams", address, func(a netip.AddrPort) (*net.UDPConn, error) {
		return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	})
	if err != nil {
		return d.listenFailed(ctx, recorder.StreamMessageFailed, err)
	}
	d.streamConn.Store(conn)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	buffer := make([]byte, pinner.MaxMessageBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil // the connection is closed
		}
		d.pinner.Receive(from, buffer[:n])
	}
}

// sendStreamMessage sends a message about streams. Messages may be lost.
func (d *Daemon) sendStreamMessage(to netip.AddrPort, datagram []byte) {
	conn := d.streamConn.Load()
	if conn == nil {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		d.config.Recorder.Count("pinner.not_sent", 1)
	}
}

// replicateStreams sends copies of recent records to other daemons when a service gets a second
// software version.
func (d *Daemon) replicateStreams() {
	anySeveral := false
	for service, versions := range d.registrar.SoftwareHistory() {
		several := len(versions) > 1
		anySeveral = anySeveral || several
		if several != d.severalVersions[service] {
			d.severalVersions[service] = several
			if several {
				d.pinner.ReplicateRecent()
			}
		}
	}
	d.anySeveral.Store(anySeveral)
}

// attachStreams returns the records of streams that the next round of balances writes. Where a relay combines the rounds, they
// are written only while a service has several software versions.
func (d *Daemon) attachStreams(relayed bool) apportioner.Attachment {
	if relayed && !d.anySeveral.Load() {
		return apportioner.Attachment{}
	}
	return d.archivist.Pending()
}

// hastenStreams makes the next round of balances write new records of streams early while a service has several software
// versions: most are then written before the first event of their streams.
func (d *Daemon) hastenStreams() {
	if d.anySeveral.Load() {
		d.shares.HastenRound()
	}
}

// sweepInterval is the time between two removals of the stored records of daemons that are gone. It exceeds the time for
// which a daemon that runs keeps records.
const sweepInterval = 5 * time.Minute

// sweepStreams removes the stored records of daemons that are gone until ctx ends. The daemons that store the software
// history do it for all.
func (d *Daemon) sweepStreams(ctx context.Context) {
	for sleeper.Sleep(ctx, sweepInterval) == nil {
		if !d.writesSoftware() {
			continue
		}
		if err := d.archivist.RemoveUnused(ctx); err != nil && ctx.Err() == nil {
			d.config.Recorder.Event(recorder.StreamArchiveFailed, "step", "sweep", "err", err)
		}
	}
}
