package launcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"laburnumline/recorder"
	"laburnumline/relayer"
)

const (
	// batchDelay is how long a relay collects transactions into one. In a fleet of a hundred
	// daemons several transactions arrive in this time, and it is short compared with the
	// latency objectives, which begin at 120 ms.
	batchDelay = 40 * time.Millisecond
	// relayHeaderTimeout limits reading the header of a request of another daemon.
	relayHeaderTimeout = time.Second
	// relayIdleTimeout closes idle connections of daemons that now use another relay.
	relayIdleTimeout = 30 * time.Second
)

// serveRelay makes calls to the store on behalf of other daemons, until ctx ends.
func (d *Daemon) serveRelay(ctx context.Context) error {
	address := d.config.Settings.InternalAddress
	if !address.IsValid() {
		return nil
	}
	l, err := listenUntilFree(ctx, d.config.Recorder, "relay", address, d.config.Listen)
	if err != nil {
		return d.listenFailed(ctx, recorder.RelayUnreachable, err)
	}
	server := &http.Server{Handler: relayer.Handler(d.combiner), ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: relayIdleTimeout, MaxHeaderBytes: internalHeaderBytes}
	stop := context.AfterFunc(ctx, func() {
		server.Close()
		d.combiner.Close()
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

const (
	// coalescePerMember is the time per daemon of the fleet for which changes of upstreams
	// are coalesced, maxCoalesceDelay the maximum. Each change completes the watches of all
	// daemons, and when a fleet starts, its upstreams register one by one. A change must be
	// known within 2 s.
	coalescePerMember = 11 * time.Millisecond
	maxCoalesceDelay  = 1000 * time.Millisecond
)

// coalesceDelay returns how long changes of upstreams are coalesced. Until a daemon has registered
// it does not know the size of the fleet, and with a starting fleet hundreds of upstreams start.
func coalesceDelay(members int, registered bool) time.Duration {
	if !registered {
		return maxCoalesceDelay
	}
	return min(time.Duration(members)*coalescePerMember, maxCoalesceDelay)
}
