package launcher

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"

	"laburnumline/recorder"
	"laburnumline/sleeper"
)

// minListenDelay and maxListenDelay limit the time until an address that is in use is tried again. A process that is
// started again may find the addresses of the previous one in use, and outgoing connections take ports for a while.
const (
	minListenDelay = 20 * time.Millisecond
	maxListenDelay = 500 * time.Millisecond
)

// listenUntilFree calls listen until its address is no longer in use. Other errors are returned, and that of ctx when it
// ends. The part of the daemon is named in the log.
func listenUntilFree[T any](ctx context.Context, rec *recorder.Recorder, part string, address netip.AddrPort, listen func(netip.AddrPort) (T, error)) (T, error) {
	for delay := minListenDelay; ; delay = min(2*delay, maxListenDelay) {
		l, err := listen(address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		rec.Event(recorder.AddressInUse, "part", part, "address", address, "retry_after", delay, "err", err)
		if sleepErr := sleeper.Sleep(ctx, delay); sleepErr != nil {
			return l, errors.Join(err, sleepErr)
		}
	}
}

// listenFailed logs that a part of the daemon does not listen, and returns the error. It returns nil if the daemon ends.
func (d *Daemon) listenFailed(ctx context.Context, event recorder.Code, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	d.config.Recorder.Event(event, "step", "listen", "err", err)
	return err
}
