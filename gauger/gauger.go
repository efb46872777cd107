// Package gauger measures how much of its network link a daemon uses.
//
// VMs have links of very different width, and clients are spread over daemons without
// regard to it. A daemon whose link is full delays everything at once: prompts, streams,
// and what it hears from the store. So it counts the bytes of its connections, in each
// direction, over the last moments, and takes no new connections while they fill the link.
//
//	g := gauger.New(gauger.Config{BytesPerSecond: 1_250_000})
//	listener = g.Listener(listener)
//	in, out := g.Utilization()
package gauger

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// slotDuration and slots are the time over which bytes are counted: long enough for a
	// few long prompts on a link of 10 Mbit/s, and short beside objectives of 500 ms.
	slotDuration = 50 * time.Millisecond
	slotCount    = 8
)

// Config holds what a Gauger needs.
type Config struct {
	// BytesPerSecond is the width of the link in each direction. Zero means that it is
	// not known; then no use is seen.
	BytesPerSecond float64
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Gauger counts bytes. It is safe for concurrent use.
type Gauger struct {
	config Config

	mu          sync.Mutex
	in, out     [slotCount]int64 // bytes by slot
	currentSlot int              // slot that is being counted
	slotStart   time.Time        // when the current slot began
}

// New returns a gauger that has counted nothing.
func New(c Config) *Gauger {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Gauger{config: c, slotStart: c.Now()}
}

// Utilization returns the part of the link that was used of late in each direction.
func (g *Gauger) Utilization() (in, out float64) {
	if g.config.BytesPerSecond <= 0 {
		return 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	capacity := g.config.BytesPerSecond * (slotCount * slotDuration).Seconds()
	return float64(sum(g.in)) / capacity, float64(sum(g.out)) / capacity
}

func sum(counts [slotCount]int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// advance clears the slots whose time has come again. The lock is held.
func (g *Gauger) advance() {
	now := g.config.Now()
	elapsed := int(now.Sub(g.slotStart) / slotDuration)
	for range min(elapsed, slotCount) {
		g.currentSlot = (g.currentSlot + 1) % slotCount
		g.in[g.currentSlot], g.out[g.currentSlot] = 0, 0
	}
	g.slotStart = g.slotStart.Add(time.Duration(elapsed) * slotDuration)
}

func (g *Gauger) count(in, out int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	g.in[g.currentSlot] += int64(in)
	g.out[g.currentSlot] += int64(out)
}

// Dialer opens connections whose bytes are counted.
func (g *Gauger) Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, gauger: g}, nil
	}
}

// Listener accepts connections whose bytes are counted.
func (g *Gauger) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gauger: g} }

type listener struct {
	net.Listener
	gauger *Gauger
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, gauger: l.gauger}, nil
}

// conn counts the bytes of one connection.
type conn struct {
	net.Conn
	gauger *Gauger
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gauger.count(n, 0)
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.gauger.count(0, n)
	return n, err
}

// errNoDescriptor means that the connection below has no file descriptor.
var errNoDescriptor = errors.New("connection has no file descriptor")

// SyscallConn gives access to the connection below.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	underlying, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return underlying.SyscallConn()
}
