package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// endlessRequests are in flight at a faulty upstream at the same time.
	endlessRequests = 12
	endlessDeadline = time.Second
	// soundDeadline is that of the requests beside them.
	soundDeadline = 20 * time.Second
	// endlessRate is the bandwidth of the faulty upstream for all its connections, that of a link of 1 Gbit/s.
	endlessRate = 125 << 20
	// endlessMemory is the limit of the process in the settings of the users' small deployments.
	endlessMemory = 134 << 20
)

// answerEndlessly accepts connections, and answers each request with the start of a response and a part that it repeats
// until the other side closes the connection. ID in the start stands for the ID of the request.
func answerEndlessly(t *testing.T, start, rest string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	block := []byte(strings.Repeat(rest, 64<<10/len(rest)))
	var connections atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				defer connections.Add(-1)
				connections.Add(1)
				_, err = io.WriteString(conn, strings.ReplaceAll(start, "ID", request.Header.Get("Attempt-Id")))
				for err == nil {
					_, err = conn.Write(block)
					time.Sleep(time.Duration(float64(len(block)) * float64(connections.Load()) / endlessRate * float64(time.Second)))
				}
			}()
		}
	}()
	return l
}

// anonymousMemory returns the resident anonymous memory of a process in bytes.
func anonymousMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(status, []byte("RssAnon:"))
	text, _, _ := bytes.Cut(rest, []byte(" kB"))
	kilobytes, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// Guards against bytes without an end from a faulty upstream that fill the memory of a daemon, or that use so much of its
// processor that requests beside them fail.
func TestEndlessBytesCostNoOtherRequest(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nRunner-Signature: s\r\n"
		stream = head + "Content-Type: text/event-stream\r\n"
		data   = "aaaaaaaa"
	)
	tests := []struct{ name, path, start, rest string }{
		{"header", "/stream/", head + "X-Long: ", data},
		{"event", "/stream/", stream + "\r\ndata: ", data},
		{"event of a stated length", "/stream/", stream + "Content-Length: 1099511627776\r\n\r\ndata: ", data},
		{"event in a chunk", "/stream/", stream + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\ndata: ", data},
		{"event in chunks", "/stream/", stream + "Transfer-Encoding: chunked\r\n\r\n", "8\r\n" + data + "\r\n"},
		{"line of a chunk", "/stream/", stream + "Transfer-Encoding: chunked\r\n\r\n1;", data},
		{"lines of an event", "/stream/", stream + "\r\n", "data: a\n"},
		{"comments", "/stream/", stream + "\r\n", ": a\n"},
		{"comments with blank lines", "/stream/", stream + "\r\n", ": a\n\n"},
		{"blank lines", "/stream/", stream + "\r\n", "\n\n"},
		{"trailer", "/stream/", stream + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", data},
		{"body", "/again/", head + "\r\n", data},
		{"body of a stated length", "/again/", head + "Content-Length: 1099511627776\r\n\r\n", data},
		{"body in chunks", "/again/", head + "Transfer-Encoding: chunked\r\n\r\n", "8\r\n" + data + "\r\n"},
		{"body of an error", "/again/", strings.Replace(head, "200 OK", "500 Error", 1) + "\r\n", data},
		{"body of a rejection", "/again/", strings.Replace(head, "200 OK", "503 Full", 1) + "Not-Executed: 1\r\n\r\n", data},
		{"body of another response", "/again/", strings.Replace(head, "ID", "0", 1) + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", data},
	}
	// The race detector uses memory of its own.
	program := filepath.Join(t.TempDir(), "laburnumline")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newProcessFixture(t, 3, time.Millisecond)
			f.program = program
			f.store.PutAsOperator("op/config", []byte(endlessConfiguration))
			f.store.PutAsOperator("servers/i-faulty", fmt.Appendf(nil,
				`{"backend":"faulty","address":%q,"zone":"z","version":"v1","batchSlots":64,"phase":"ready","warmupLeftMs":0,"seq":1}`, answerEndlessly(t, tt.start, tt.rest).Addr()))
			process := f.start()
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			var requests sync.WaitGroup
			defer requests.Wait()
			for n := range endlessRequests {
				requests.Go(func() {
					status, _, err := f.send(context.Background(), fmt.Sprint("f", n), tt.path, endlessDeadline)
					if err == nil && status < http.StatusInternalServerError {
						t.Errorf("request f%d was answered with %d as a whole", n, status)
					}
				})
			}
			most, sent, slowest := 0, 0, time.Duration(0)
			for ; ctx.Err() == nil; sent++ {
				begin := time.Now()
				status, body, err := f.send(t.Context(), fmt.Sprint("s", sent), "/drafts/", soundDeadline)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status, body)
				slowest = max(slowest, time.Since(begin))
				most = max(most, anonymousMemory(process.Process.Pid))
			}
			t.Logf("%s: %d MB, %d sound requests, the slowest in %v", tt.name, most>>20, sent, slowest.Round(time.Millisecond))
			require.Less(t, most, endlessMemory)
			require.NotZero(t, sent)
		})
	}
}

const endlessConfiguration = `{"version":2,"routes":[
 {"name":"drafts","hostname":"a.example","prefix":"/drafts/","routeType":"streaming","timeoutMs":20000,"backend":"model","attempts":1},
 {"name":"stream","hostname":"a.example","prefix":"/stream/","routeType":"streaming","timeoutMs":20000,"backend":"faulty","attempts":1},
 {"name":"again","hostname":"a.example","prefix":"/again/","routeType":"idempotent","timeoutMs":20000,"backend":"faulty","attempts":1}],
 "backends":[{"name":"model","healthPath":"/healthz","maxConnections":100,"backendEngine":{"batchSlots":64,"kvCapacity":400000,"interval":3}},
  {"name":"faulty","healthPath":"/healthz","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"],"prepaid":100000000}]}`
