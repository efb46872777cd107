// Package gauger measures the utilization of a daemon's network link and counts its connections.
//
// The links of VMs differ widely in bandwidth, and clients are distributed over daemons
// without regard to it. A daemon whose link is saturated delays prompts, streams and
// updates from the store alike. Each daemon therefore counts the bytes of its connections
// in each direction over a sliding window of 400 ms. While they saturate the link, it
// reports that it is not ready for new connections (package launcher).
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
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slotDuration and slotCount define the sliding window. It is long enough for a few long
	// prompts on a link of 10 Mbit/s, and short compared with latency objectives of 500 ms.
	slotDuration = 50 * time.Millisecond
	slotCount    = 8
)

// Config holds what a Gauger needs.
type Config struct {
	// BytesPerSecond is the bandwidth of the link in each direction. Zero means unknown: the
	// utilization is then always zero.
	BytesPerSecond float64
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Gauger counts the bytes of connections. It is safe for concurrent use.
type Gauger struct {
	config Config
	open   atomic.Int64 // connections

	mu          sync.Mutex
	in, out     [slotCount]int64 // bytes per slot
	currentSlot int              // index of the slot that counts now
	slotStart   time.Time        // start of the current slot
}

// New returns a Gauger with empty counts.
func New(c Config) *Gauger {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Gauger{config: c, slotStart: c.Now()}
}

// Utilization returns the fraction of the bandwidth that was used in each direction over the
// sliding window.
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

// recentSlots is the number of complete slots of Recent.
const recentSlots = 3

// Recent returns the fraction of the bandwidth that was used in the busier direction over the last recentSlots
// complete slots.
func (g *Gauger) Recent() float64 {
	if g.config.BytesPerSecond <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	in, out := int64(0), int64(0)
	for i := 1; i <= recentSlots; i++ {
		slot := (g.currentSlot + slotCount - i) % slotCount
		in += g.in[slot]
		out += g.out[slot]
	}
	return float64(max(in, out)) / (g.config.BytesPerSecond * (recentSlots * slotDuration).Seconds())
}

func sum(counts [slotCount]int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// advance moves to the slot of the current time and clears the slots that it passes. The
// lock is held.
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

// Dialer returns a function that dials connections whose bytes are counted.
func (g *Gauger) Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return g.wrap(c), nil
	}
}

// Open returns the number of connections that are open.
func (g *Gauger) Open() int { return int(g.open.Load()) }

func (g *Gauger) wrap(c net.Conn) *conn {
	g.open.Add(1)
	return &conn{Conn: c, gauger: g}
}

// Listener returns a listener that accepts connections whose bytes are counted.
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
	return l.gauger.wrap(c), nil
}

// conn counts the bytes of one connection.
type conn struct {
	net.Conn
	gauger *Gauger
	closed atomic.Bool
}

// Close closes the connection.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.gauger.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, which net/http does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if underlying, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return underlying.CloseWrite()
	}
	return nil
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

// errNoDescriptor means that the underlying connection has no file descriptor.
var errNoDescriptor = errors.New("connection has no file descriptor")

// SyscallConn gives access to the underlying connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	underlying, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return underlying.SyscallConn()
}
