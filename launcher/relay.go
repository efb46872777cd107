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
	// batchWindow is how long this daemon collects transactions of others: long enough for
	// several of a hundred daemons, and short beside the objectives, which begin at 120 ms.
	batchWindow = 40 * time.Millisecond
	// relayHeaderTimeout bounds the header of a call of another daemon.
	relayHeaderTimeout = time.Second
	// relayIdleTimeout ends idle connections of daemons that use another relay.
	relayIdleTimeout = 30 * time.Second
)

// serveRelay makes calls to the store for other daemons, until ctx ends.
func (d *Daemon) serveRelay(ctx context.Context) error {
	address := d.config.Settings.InternalAddress
	if !address.IsValid() {
		return nil
	}
	l, err := d.config.Listen(address)
	if err != nil {
		d.config.Recorder.Event(recorder.RelayUnreachable, "step", "listen", "err", err)
		return err
	}
	server := &http.Server{Handler: relayer.Handler(d.combiner), ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: relayIdleTimeout}
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
	// coalescePerMember and longestCollect are how long changes of upstreams are collected
	// in a fleet of so many daemons. Each change answers the watches of all of them, and
	// when a fleet starts, upstreams come one by one. A change must be known within 2 s.
	coalescePerMember = 11 * time.Millisecond
	maxCoalesceWindow = 1000 * time.Millisecond
)

// coalesceWindow is how long changes of upstreams are collected.
func coalesceWindow(members int) time.Duration {
	return min(time.Duration(members)*coalescePerMember, maxCoalesceWindow)
}
