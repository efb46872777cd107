package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// PeerEnd is how a Peer ends a connection after its answer.
type PeerEnd uint8

const (
	// PeerKeeps leaves the connection open for the next request.
	PeerKeeps PeerEnd = iota
	// PeerCloses ends its sending direction in order and reads what the other side still sends.
	PeerCloses
	// PeerResets resets the connection.
	PeerResets
	// PeerClosesUnread closes the connection when there are bytes that it has not read, which resets it.
	PeerClosesUnread
	// PeerClosesThenResets ends its sending direction in order and resets the connection afterwards.
	PeerClosesThenResets
	// PeerClosesAndStalls ends its sending direction in order and reads nothing until the Peer is closed.
	PeerClosesAndStalls
	// PeerStalls leaves the connection open, and reads and writes nothing until the Peer is closed.
	PeerStalls
)

// PeerAnswer is what a Peer sends for a request.
type PeerAnswer struct {
	// Bytes are sent as they are, whether or not they are an HTTP response.
	Bytes string
	// Early sends them when the head of the request has arrived. Otherwise its body is read first.
	Early bool
	// Delay is the time from the last byte to End.
	Delay time.Duration
	End   PeerEnd
}

// peerResetDelay is the time between an orderly end and a reset. The end arrives first.
const peerResetDelay = 5 * time.Millisecond

// Peer is a server that may be faulty: it answers requests with any bytes and ends its connections in any way.
type Peer struct {
	listener net.Listener
	answer   func(*http.Request) PeerAnswer
	closed   chan struct{}

	mu          sync.Mutex
	requests    int
	connections map[net.Conn]bool
	serving     sync.WaitGroup
}

// StartPeer starts a Peer on a loopback address.
func StartPeer(answer func(*http.Request) PeerAnswer) (*Peer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start peer: %w", err)
	}
	p := &Peer{listener: l, answer: answer, closed: make(chan struct{}), connections: make(map[net.Conn]bool)}
	p.serving.Go(p.accept)
	return p, nil
}

// Address returns the address on which the Peer listens.
func (p *Peer) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Requests returns the number of requests whose head has arrived.
func (p *Peer) Requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

// Close closes the listener and all connections and waits until they are served.
func (p *Peer) Close() error {
	err := p.listener.Close()
	close(p.closed)
	p.mu.Lock()
	for c := range p.connections {
		_ = c.Close() // ends its reads
	}
	p.mu.Unlock()
	p.serving.Wait()
	return err
}

func (p *Peer) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.connections[c] = true
		p.mu.Unlock()
		select {
		case <-p.closed: // Close may have passed the connection over
			_ = c.Close()
		default:
		}
		p.serving.Go(func() {
			p.serve(c.(*net.TCPConn))
			p.mu.Lock()
			delete(p.connections, c)
			p.mu.Unlock()
		})
	}
}

func (p *Peer) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.requests++
		p.mu.Unlock()
		answer := p.answer(request)
		if !answer.Early {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, answer.Bytes); err != nil {
			return
		}
		time.Sleep(answer.Delay)
		if answer.End != PeerKeeps {
			p.end(c, answer.End)
			return
		}
	}
}

// end ends a connection. An error means that the other side has closed it first.
func (p *Peer) end(c *net.TCPConn, how PeerEnd) {
	switch how {
	case PeerCloses:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case PeerResets:
		_ = c.SetLinger(0)
	case PeerClosesUnread:
		awaitInput(c)
	case PeerClosesThenResets:
		_ = c.CloseWrite()
		time.Sleep(peerResetDelay)
		_ = c.SetLinger(0)
	case PeerClosesAndStalls:
		_ = c.CloseWrite()
		<-p.closed
	case PeerStalls:
		<-p.closed
	}
}

// awaitInput waits until bytes have arrived on a connection, and does not read them.
func awaitInput(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	var b [1]byte
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// NamedAnswer is an answer of a Peer with a name for the cases of a test.
type NamedAnswer struct {
	Name string
	PeerAnswer
}

// StatusFaults returns answers whose status is not that of a final response. Their other fields and their body are whole, and
// a whole answer to the same request is what one of them has as its body.
func StatusFaults(fields, body string) []NamedAnswer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := "HTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body
	var faults []NamedAnswer
	add := func(name, bytes string) {
		faults = append(faults, NamedAnswer{name, PeerAnswer{Bytes: bytes, End: PeerCloses}})
	}
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		add("status "+status, "HTTP/1.1 "+status+" Odd\r\n"+fields+length+"\r\n"+body)
	}
	add("status 000 before an answer", "HTTP/1.1 000 Odd\r\n"+fields+"\r\n"+whole)
	add("status 000 without a length", "HTTP/1.1 000 Odd\r\n"+fields+"\r\n"+body)
	return faults
}

// FieldFaults returns answers in whose head the name or the value of a field has a blank or a control byte.
func FieldFaults(fields, body string) []NamedAnswer {
	const status = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	faults := []NamedAnswer{
		{"blank before the colon of a length", PeerAnswer{Bytes: status + fields + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body + "more", End: PeerCloses}},
		{"blank before the name of a length", PeerAnswer{Bytes: status + fields + fmt.Sprintf("X-One: 1\r\n Content-Length: %d\r\n\r\n", len(body)) + body + "more", End: PeerCloses}},
		{"blank before the colon of an encoding", PeerAnswer{
			Bytes: status + fields + fmt.Sprintf("Transfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), End: PeerCloses,
		}},
	}
	lines := []struct{ name, line string }{
		{"blank before a name", "X-One: 1\r\n X-Odd: 1"},
		{"tab before a name", "X-One: 1\r\n\tX-Odd: 1"},
		{"blank before a name, line feeds", "X-One: 1\n X-Odd: 1"},
		{"blank in a name", "X Odd: 1"},
		{"blank before a colon", "X-Odd : 1"},
		{"tab in a name", "X\tOdd: 1"},
		{"tab before a colon", "X-Odd\t: 1"},
		{"NUL in a name", "X\x00Odd: 1"},
		{"control byte in a name", "X\x01Odd: 1"},
		{"DEL in a name", "X\x7fOdd: 1"},
		{"carriage return in a name", "X\rOdd: 1"},
		{"byte above ASCII in a name", "X\xe9Odd: 1"},
		{"separator in a name", "X(Odd): 1"},
		{"NUL in a value", "X-Odd: a\x00b"},
		{"control byte in a value", "X-Odd: a\x01b"},
		{"carriage return in a value", "X-Odd: a\rb"},
	}
	for _, l := range lines {
		faults = append(faults, NamedAnswer{l.name, PeerAnswer{Bytes: status + fields + length + l.line + "\r\n\r\n" + body, End: PeerCloses}})
	}
	return faults
}

// CutAnswers returns answers of which only the first half of the body is sent. The last one ends as a whole one would whose
// body is that half: only its content shows that it is cut.
func CutAnswers(fields, body string) []NamedAnswer {
	head, half := "HTTP/1.1 200 OK\r\n"+fields, body[:len(body)/2]
	return []NamedAnswer{
		{"cut, stated length", PeerAnswer{Bytes: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + half, End: PeerCloses}},
		{"cut, in chunks", PeerAnswer{Bytes: head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half), End: PeerCloses}},
		{"cut, reset", PeerAnswer{Bytes: head + "\r\n" + half, End: PeerResets}},
		{"cut, orderly end", PeerAnswer{Bytes: head + "\r\n" + half, End: PeerCloses}},
	}
}

// FaultyAnswers returns all answers that a reader of documents and streams must not take for whole ones.
func FaultyAnswers(fields, body string) []NamedAnswer {
	return slices.Concat(StatusFaults(fields, body), FieldFaults(fields, body), CutAnswers(fields, body))
}
