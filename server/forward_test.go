package server_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/server"
)

// fastEngine is an inference engine that does little work per response, so that a
// benchmark measures the daemon in front of it.
type fastEngine struct {
	listener net.Listener
	// chunks is the number of output tokens of each response, one per chunk.
	chunks int
	// chunksPerWrite is the number of chunks in one write.
	chunksPerWrite int
	// credits, if not nil, holds a channel for each request key. Each write of the request
	// waits for a credit from its channel.
	credits *sync.Map
	wait    sync.WaitGroup
}

func newFastEngine(t testing.TB, chunks, chunksPerWrite int, credits *sync.Map) *fastEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &fastEngine{listener: listener, chunks: chunks, chunksPerWrite: chunksPerWrite, credits: credits}
	e.wait.Add(1)
	go e.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		e.wait.Wait()
	})
	return e
}

func (e *fastEngine) address() string { return e.listener.Addr().String() }

func (e *fastEngine) accept() {
	defer e.wait.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.wait.Add(1)
		go e.serve(conn)
	}
}

func (e *fastEngine) serve(conn net.Conn) {
	defer e.wait.Done()
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if err := e.writeResponse(conn, req.Header.Get(dispatcher.HeaderRequestID)); err != nil {
			return
		}
	}
}

func (e *fastEngine) writeResponse(conn net.Conn, id string) error {
	var credit chan struct{}
	if e.credits != nil {
		key, _, _ := strings.Cut(id, "-")
		found, ok := e.credits.Load(key)
		if !ok {
			return fmt.Errorf("no credits for %s", id)
		}
		credit = found.(chan struct{})
	}
	buf := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	var event []byte
	for i := 0; i < e.chunks; i++ {
		event = append(event[:0], `data: {"id":"`...)
		event = append(event, id...)
		event = append(event, `","object":"chat.completion.chunk","created":1700000000,"model":"quote-model","choices":[{"index":0,"delta":{"content":" webbing"},"finish_reason":null}],"offset":`...)
		event = strconv.AppendInt(event, int64(i), 10)
		event = append(event, `,"tokens":1}`...)
		event = append(event, "\n\n"...)
		buf = appendHTTPChunk(buf, event)
		if (i+1)%e.chunksPerWrite != 0 {
			continue
		}
		if credit != nil {
			<-credit
		}
		if _, err := conn.Write(buf); err != nil {
			return err
		}
		buf = buf[:0]
	}
	tail := fmt.Sprintf(`data: {"id":"%[1]s","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"offset":%[2]d,"tokens":0}`+"\n\n"+`data: {"id":"%[1]s","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%[2]d}}`+"\n\ndata: [DONE]\n\n", id, e.chunks)
	buf = appendHTTPChunk(buf, []byte(tail))
	_, err := conn.Write(append(buf, "0\r\n\r\n"...))
	return err
}

// appendHTTPChunk appends one chunk of a body with chunked transfer encoding.
func appendHTTPChunk(buf, data []byte) []byte {
	buf = strconv.AppendInt(buf, int64(len(data)), 16)
	buf = append(buf, "\r\n"...)
	buf = append(buf, data...)
	return append(buf, "\r\n"...)
}

// fastCaller sends requests and counts events with little work per event.
type fastCaller struct {
	conn net.Conn
	buf  []byte
	// firstChunk is the time from the request to the first chunk of the last call.
	firstChunk time.Duration
	// started, if not nil, is closed at the first event.
	started chan struct{}
}

func newFastCaller(t testing.TB, address string) *fastCaller {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	return &fastCaller{conn: conn, buf: make([]byte, 64<<10)}
}

var (
	eventEnd = []byte("\n\n")
	bodyEnd  = []byte("0\r\n\r\n")
)

// call sends one request and returns the number of events in its response. For each event
// it adds a credit to the channel, if there is one.
func (c *fastCaller) call(name, id string, output int, credit chan struct{}) (int, error) {
	body := chatBody(userMessages, fmt.Sprintf(`,"stream":true,"max_tokens":%d`, output))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n",
		completions, bearer, name, id, len(body))
	start := time.Now()
	if _, err := io.WriteString(c.conn, head+body); err != nil {
		return 0, err
	}
	count := 0
	for {
		n, err := c.conn.Read(c.buf)
		if err != nil {
			return count, err
		}
		received := bytes.Count(c.buf[:n], eventEnd)
		if count == 0 && received > 0 {
			c.firstChunk = time.Since(start)
			if c.started != nil {
				close(c.started)
			}
		}
		count += received
		for range received {
			if credit != nil {
				credit <- struct{}{}
			}
		}
		if bytes.HasSuffix(c.buf[:n], bodyEnd) {
			return count, nil
		}
	}
}

// newTCPProxy starts a proxy that copies bytes between callers and an engine, and returns
// its address.
func newTCPProxy(t testing.TB, engine string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", engine)
			if err != nil {
				_ = caller.Close()
				return
			}
			wait.Go(func() { copyUntilClosed(caller, upstream) })
			wait.Go(func() { copyUntilClosed(upstream, caller) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wait.Wait()
	})
	return listener.Addr().String()
}

// copyUntilClosed copies bytes with plain reads and writes until one side closes.
func copyUntilClosed(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 8<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

const (
	forwardCallers = 64
	forwardChunks  = 512
)

// readStreams makes concurrent callers read the given number of streams. It returns the
// elapsed time and the processor time.
func readStreams(b *testing.B, address string, streams int, credits *sync.Map) (wall, cpu time.Duration) {
	callers := make([]*fastCaller, forwardCallers)
	for i := range callers {
		callers[i] = newFastCaller(b, address)
		defer callers[i].conn.Close()
	}
	var wait sync.WaitGroup
	start, used := time.Now(), cpuTime()
	for i, c := range callers {
		calls := streams / forwardCallers
		if i < streams%forwardCallers {
			calls++
		}
		wait.Go(func() {
			for n := range calls {
				name := fmt.Sprintf("%s-%d-%d", address, i, n)
				key := contractor.NewRequestKey("loft-7", name).String()
				var credit chan struct{}
				if credits != nil {
					credit = make(chan struct{}, forwardChunks+8)
					credit <- struct{}{}
					credits.Store(key, credit)
				}
				got, err := c.call(name, key+"-1", forwardChunks, credit)
				if err != nil || got < forwardChunks {
					b.Errorf("%d events: %v", got, err)
					return
				}
				if credits != nil {
					credits.Delete(key)
				}
			}
		})
	}
	wait.Wait()
	return time.Since(start), cpuTime() - used
}

// BenchmarkForward forwards streams from an engine through dispatcher and server to
// callers, over sockets. The name of a case says how many chunks the engine sends in one
// write. In the case lockstep each chunk arrives alone: the engine sends the next one
// after the caller has received the last one.
//
// chunk_per_s is the rate with callers, engine and daemon in one process; with -cpu 1
// they share one core. chunk_per_core_s is the number of chunks per second of the
// daemon's own processor time, which is the total less that of the same callers and
// engine without a daemon. relay_ns/chunk is the processor time of a TCP proxy that only
// reads and writes: the lower limit for any daemon on the same machine.
func BenchmarkForward(b *testing.B) {
	for _, chunksPerWrite := range []int{0, 1, 4, 16, 64} {
		name := fmt.Sprintf("together=%d", chunksPerWrite)
		var credits *sync.Map
		if chunksPerWrite == 0 {
			name = "lockstep"
			credits = new(sync.Map)
		}
		b.Run(name, func(b *testing.B) {
			engine := newFastEngine(b, forwardChunks, max(chunksPerWrite, 1), credits)
			d := serveUpstream(b, contractor.Upstream{Name: "engine-1", URL: "http://" + engine.address()}, server.Config{})
			readStreams(b, d.address, forwardCallers, credits)
			b.ReportAllocs()
			b.ResetTimer()
			wall, cpu := readStreams(b, d.address, b.N, credits)
			b.StopTimer()
			_, direct := readStreams(b, engine.address(), b.N, credits)
			chunks := float64(b.N) * forwardChunks
			b.ReportMetric(chunks/wall.Seconds(), "chunk_per_s")
			b.ReportMetric(chunks/max(cpu-direct, time.Microsecond).Seconds(), "chunk_per_core_s")
			b.ReportMetric(float64(cpu-direct)/chunks, "daemon_ns/chunk")
			b.ReportMetric(float64(direct)/chunks, "harness_ns/chunk")
			_, proxied := readStreams(b, newTCPProxy(b, engine.address()), b.N, credits)
			b.ReportMetric(float64(proxied-direct)/chunks, "relay_ns/chunk")
		})
	}
}

// BenchmarkAddedLatency compares calls through the daemon with the same calls sent to the
// engine directly: the time to the first chunk and the time of the complete call.
func BenchmarkAddedLatency(b *testing.B) {
	engine := newFastEngine(b, 16, 1, nil)
	d := serveUpstream(b, contractor.Upstream{Name: "engine-1", URL: "http://" + engine.address()}, server.Config{})
	measure := func(address string) (first, total *hdrhistogram.Histogram) {
		first, total = hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
		c := newFastCaller(b, address)
		defer c.conn.Close()
		for i := range b.N {
			name := fmt.Sprintf("%s-%d", address, i)
			start := time.Now()
			_, err := c.call(name, contractor.NewRequestKey("loft-7", name).String()+"-1", 16, nil)
			require.NoError(b, err)
			_ = total.RecordValue(int64(time.Since(start)))
			_ = first.RecordValue(int64(c.firstChunk))
		}
		return first, total
	}
	directFirst, directTotal := measure(engine.address())
	b.ResetTimer()
	first, total := measure(d.address)
	added := func(via, direct *hdrhistogram.Histogram, percent float64) float64 {
		return float64(via.ValueAtQuantile(percent)-direct.ValueAtQuantile(percent)) / float64(time.Millisecond)
	}
	b.ReportMetric(added(total, directTotal, 50), "added_ms_p50")
	b.ReportMetric(added(total, directTotal, 99), "added_ms_p99")
	b.ReportMetric(added(first, directFirst, 50), "added_first_ms_p50")
}

// daemon is a daemon's data plane, server and dispatcher, in front of one upstream.
type daemon struct {
	address string
	server  *server.Server
}

func serveUpstream(t testing.TB, engine contractor.Upstream, config server.Config) *daemon {
	d := dispatcher.New(dispatcher.Config{})
	config.Conductor = &fakeConductor{dispatcher: d, engine: engine}
	s, err := server.New(config)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-served)
		d.Close()
	})
	return &daemon{address: listener.Addr().String(), server: s}
}
