package launcher

import (
	"errors"
	"net"
	"net/http"

	"laburnumline/recorder"
)

// serve runs a server until it is closed, and logs why it ended otherwise.
func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		d.config.Recorder.Event(recorder.DaemonFailed, "address", listener.Addr(), "err", err)
	}
}
