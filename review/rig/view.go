package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
)

// view is what one daemon sees of the platform: the store, which it can be partitioned from, and the runners, each
// through a proxy of its own.
type view struct {
	fleet *fleet
	// storeCut lets calls to the store hang without an answer.
	storeCut atomic.Bool

	mu         sync.Mutex
	runnersCut bool
	proxies    map[string]*proxy // by the runner's address
}

func newView(f *fleet) *view { return &view{fleet: f, proxies: make(map[string]*proxy)} }

// wrap returns a handler that answers as the store does, with the addresses of the proxies in the entries of runners.
func (v *view) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.storeCut.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // lets the server notice that the daemon closes the connection
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		rewritten := httptest.NewRecorder()
		next.ServeHTTP(rewritten, r)
		if v.storeCut.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		for name, values := range rewritten.Header() {
			w.Header()[name] = values
		}
		body := rewritten.Body.Bytes()
		if r.Method == http.MethodGet {
			body = v.rewrite(body)
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(rewritten.Code)
		_, _ = w.Write(body) // fails if the daemon has gone
	})
}

// item is an entry of the store on the wire.
type item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func (v *view) rewrite(body []byte) []byte {
	var answer map[string]json.RawMessage
	if json.Unmarshal(body, &answer) != nil {
		return body
	}
	for _, field := range []string{"entries", "events"} {
		var items []item
		if answer[field] == nil || json.Unmarshal(answer[field], &items) != nil {
			continue
		}
		for i := range items {
			if strings.HasPrefix(items[i].Key, "servers/") && !items[i].Deleted {
				items[i].Data = v.rewriteEntry(items[i].Data)
			}
		}
		if text, err := json.Marshal(items); err == nil {
			answer[field] = text
		}
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return text
}

// rewriteEntry replaces the address in a runner's entry by that of its proxy.
func (v *view) rewriteEntry(data []byte) []byte {
	var entry map[string]any
	if json.Unmarshal(data, &entry) != nil {
		return data
	}
	address, _ := entry["address"].(string)
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.proxies[address]
	if p == nil {
		p = &proxy{target: address}
		if err := p.open("127.0.0.1:0"); err != nil {
			v.fleet.journal.printf("no proxy: %v", err)
			return data
		}
		v.proxies[address] = p
		if v.runnersCut {
			p.cut()
		}
	}
	entry["address"] = p.address
	// A whole number stays one.
	if born, ok := entry["born"].(float64); ok {
		entry["born"] = int64(born)
	}
	text, err := json.Marshal(entry)
	if err != nil {
		return data
	}
	return text
}

// cutRunners partitions the daemon from all runners: its connections are reset and new ones refused.
func (v *view) cutRunners() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runnersCut = true
	for _, p := range v.proxies {
		p.cut()
	}
}

// proxy forwards connections to a runner.
type proxy struct {
	target  string
	address string

	mu          sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
}

func (p *proxy) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.address, p.connections = l, l.Addr().String(), make(map[net.Conn]bool)
	p.mu.Unlock()
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(connection)
		}
	}()
	return nil
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		p.reset(from)
		return
	}
	p.mu.Lock()
	if p.connections == nil {
		p.mu.Unlock()
		p.reset(from)
		_ = to.Close()
		return
	}
	p.connections[from], p.connections[to] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { _, _ = io.Copy(to, from); _ = to.Close(); _ = from.Close() })
	both.Go(func() { _, _ = io.Copy(from, to); _ = to.Close(); _ = from.Close() })
	both.Wait()
	p.mu.Lock()
	delete(p.connections, from)
	delete(p.connections, to)
	p.mu.Unlock()
}

// reset closes a connection with a reset.
func (*proxy) reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a close without it only loses the reset
	}
	_ = c.Close()
}

// cut closes the listener and resets all connections.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.connections {
		p.reset(c)
	}
	p.connections = nil
}
