package launcher

import (
	"context"
	"net"
	"net/netip"

	"laburnumline/pinner"
	"laburnumline/recorder"
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
	for service, versions := range d.registrar.SoftwareHistory() {
		if several := len(versions) > 1; several != d.severalVersions[service] {
			d.severalVersions[service] = several
			if several {
				d.pinner.ReplicateRecent()
			}
		}
	}
}
