package emulator

import (
	"cmp"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// loopbackServer serves a handler on a loopback address. The zero value is ready to use.
type loopbackServer struct {
	mu      sync.Mutex
	server  *http.Server
	done    chan struct{}
	address string // empty until the first start
}

// serve starts the server and returns its base URL. Another start uses the same address.
func (l *loopbackServer) serve(h http.Handler) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return "", errors.New("emulator: already serving")
	}
	listener, err := net.Listen("tcp", cmp.Or(l.address, "127.0.0.1:0"))
	if err != nil {
		return "", errors.Wrap(err, "emulator: listen")
	}
	l.address = listener.Addr().String()
	l.server = &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	l.done = make(chan struct{})
	go run(l.server, listener, l.done)
	return "http://" + l.address, nil
}

func run(server *http.Server, listener net.Listener, done chan struct{}) {
	defer close(done)
	_ = server.Serve(listener)
}

// Close stops the server and closes its connections.
func (l *loopbackServer) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return nil
	}
	err := l.server.Close()
	<-l.done
	l.server = nil
	return err
}
