package stage

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// View is the store as one machine sees it: the addresses of the runners are those of links that belong to the
// machine, so that its path to the runners can be cut. Nothing else differs.
type View struct {
	Address string
	// Source is the address from which the machine reaches the runners.
	Source string

	stage  *Stage
	server *http.Server
	mu     sync.Mutex
	links  map[string]*link // by the address of the runner
	cut    bool
}

// NewView returns a view of the store for a machine that is added next.
func (s *Stage) NewView(ip string) (*View, error) {
	l, err := net.Listen("tcp", s.network+"."+ip+":0")
	if err != nil {
		return nil, err
	}
	v := &View{Address: l.Addr().String(), Source: s.network + ".241", stage: s, links: make(map[string]*link)}
	v.server = &http.Server{Handler: v, ReadHeaderTimeout: time.Second}
	go func() { _ = v.server.Serve(l) }() // ends with the process
	return v, nil
}

// ServeHTTP passes a call on to the store and changes the addresses in its answer.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+v.stage.Store.Address+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header, request.ContentLength = r.Header.Clone(), r.ContentLength
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(v.rewrite(body)) // an error means that the daemon has closed the connection
}

// rewrite replaces the addresses of runners in an answer of the store.
func (v *View) rewrite(body []byte) []byte {
	var answer map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if decoder.Decode(&answer) != nil {
		return body
	}
	v.rewriteItem(answer)
	for _, list := range []string{"entries", "events"} {
		items, ok := answer[list].([]any)
		if !ok {
			continue
		}
		for _, item := range items {
			if fields, ok := item.(map[string]any); ok {
				v.rewriteItem(fields)
			}
		}
	}
	changed, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return changed
}

func (v *View) rewriteItem(item map[string]any) {
	key, _ := item["key"].(string)
	text, _ := item["data"].(string)
	if !strings.HasPrefix(key, "servers/") || text == "" {
		return
	}
	var data []byte
	var entry map[string]any
	if json.Unmarshal([]byte(`"`+text+`"`), &data) != nil || json.Unmarshal(data, &entry) != nil {
		return
	}
	address, _ := entry["address"].(string)
	entry["address"] = v.link(address)
	if data, err := json.Marshal(entry); err == nil {
		item["data"] = data
	}
}

// link returns the address of the link to a runner.
func (v *View) link(runner string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.links[runner] == nil {
		l := &link{runner: runner, source: v.Source}
		if l.open(v.stage.network+".240:0") != nil {
			return runner
		}
		v.links[runner] = l
		if v.cut {
			l.close()
		}
	}
	return v.links[runner].address
}

// Cut resets the connections to all runners and refuses new ones. Heal ends that.
func (v *View) Cut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = true
	for _, l := range v.links {
		l.close()
	}
}

// Heal restores the path to the runners. It reports false if an address has been taken meanwhile.
func (v *View) Heal() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = false
	for _, l := range v.links {
		if l.open(l.address) != nil {
			return false
		}
	}
	return true
}

// link passes connections on to one runner.
type link struct {
	runner, address, source string

	mu          sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
}

func (l *link) open(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener, l.address, l.connections = listener, listener.Addr().String(), make(map[net.Conn]bool)
	go l.accept(listener)
	return nil
}

func (l *link) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		// The runner sees by the address which machine it is.
		to, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(l.source)}}).Dial("tcp", l.runner)
		if err != nil {
			reset(from)
			continue
		}
		if !l.add(listener, from, to) {
			reset(from)
			reset(to)
			continue
		}
		go l.pass(from, to)
		go l.pass(to, from)
	}
}

// add records the connections, unless the listener is closed.
func (l *link) add(listener net.Listener, added ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != listener {
		return false
	}
	for _, c := range added {
		l.connections[c] = true
	}
	return true
}

// pass copies one direction. The end of either direction ends both.
func (l *link) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from) // an error ends the connection as its end does
	from.Close()
	to.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, from)
	delete(l.connections, to)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	l.listener.Close()
	l.listener = nil
	for c := range l.connections {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed in order
	}
	c.Close()
}
