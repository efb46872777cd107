package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"laburnumline/recorder"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	if r, ok := c.(*requestConn); ok {
		c = r.Conn
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// resetIfIncomplete returns a handler that resets the connection of a caller of HTTP/1.0 unless
// next returns. The response may end with the connection there, and only a reset shows that it
// is incomplete. The same holds when the process is killed during next.
func (d *Daemon) resetIfIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		d.setLinger(r, syscall.Linger{Onoff: 1}) // a close discards what is unsent, and resets
		next.ServeHTTP(w, r)
		d.setLinger(r, syscall.Linger{})
	})
}

// setLinger sets what a close of the request's connection does with unsent data.
func (d *Daemon) setLinger(r *http.Request, linger syscall.Linger) {
	c, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	err := errNoDescriptor
	if ok {
		err = controlLinger(c, &linger)
	}
	if err != nil {
		d.config.Recorder.Event(recorder.LingerNotSet, "peer", r.RemoteAddr, "err", err)
	}
}

// errNoDescriptor means that a connection has no file descriptor.
var errNoDescriptor = errors.New("connection has no file descriptor")

func controlLinger(c syscall.Conn, linger *syscall.Linger) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, linger)
	})
	return errors.Join(err, optionErr)
}
