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
	// gatherTime is how long this daemon collects transactions of others: long enough for
	// several of a hundred daemons, and short beside the objectives, which begin at 120 ms.
	gatherTime = 40 * time.Millisecond
	// relayHeaderTime bounds the header of a call of another daemon.
	relayHeaderTime = time.Second
	// relayIdleTime ends idle connections of daemons that use another relay.
	relayIdleTime = 30 * time.Second
)

// relay makes calls to the store for other daemons, until ctx ends.
func (d *Daemon) relay(ctx context.Context) error {
	address := d.config.Settings.InternalAddress
	if !address.IsValid() {
		return nil
	}
	l, err := d.config.Listen(address)
	if err != nil {
		d.config.Recorder.Event(recorder.RelayUnreachable, "step", "listen", "err", err)
		return err
	}
	server := &http.Server{Handler: relayer.Handler(d.combiner), ReadHeaderTimeout: relayHeaderTime, IdleTimeout: relayIdleTime}
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
	// collectPerMember and longestCollect are how long changes of upstreams are collected
	// in a fleet of so many daemons. Each change answers the watches of all of them, and
	// when a fleet starts, upstreams come one by one. A change must be known within 2 s.
	collectPerMember = 11 * time.Millisecond
	longestCollect   = 1000 * time.Millisecond
)

// collectTime is how long changes of upstreams are collected.
func collectTime(members int) time.Duration {
	return min(time.Duration(members)*collectPerMember, longestCollect)
}
