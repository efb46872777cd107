package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

const (
	// answerHead is the start of an answer that the daemon accepts. ID stands for the ID of the request.
	answerHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nRunner-Signature: s\r\n"
	// longUpload is still being written by the daemon when an early answer arrives.
	longUpload = 3 << 20
)

const brokenAnswerConfiguration = `{"version":2,"routes":[
 {"name":"once","hostname":"a.example","prefix":"/once/","routeType":"non_idempotent","timeoutMs":20000,"backend":"faulty","attempts":3},
 {"name":"again","hostname":"a.example","prefix":"/again/","routeType":"idempotent","timeoutMs":20000,"backend":"faulty","attempts":1},
 {"name":"stream","hostname":"a.example","prefix":"/stream/","routeType":"streaming","timeoutMs":20000,"backend":"faulty","attempts":1}],
 "backends":[{"name":"faulty","healthPath":"/healthz","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":8000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"],"prepaid":100000000}]}`

// Guards against broken answers of an upstream that reach callers as answers of a daemon that runs as a process, and
// against whole ones that do not. The request of a route that may not be repeated runs once.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const stream = answerHead + "Content-Type: text/event-stream\r\n"
	event := "id: 1\ndata: a\n\n"
	tests := []struct {
		name, path string
		upload     int
		answer     emulator.PeerAnswer
		whole      string // what the caller gets, or empty for a refusal or a body that is broken off
	}{
		{"reset during the upload", "/again/", longUpload, emulator.PeerAnswer{Bytes: answerHead + "\r\nhalf", Early: true, End: emulator.PeerResets}, ""},
		{"reset during the upload, not repeatable", "/once/", longUpload, emulator.PeerAnswer{Bytes: answerHead + "\r\nhalf", Early: true, End: emulator.PeerResets}, ""},
		{"reset after 2 ms", "/again/", longUpload, emulator.PeerAnswer{Bytes: answerHead + "\r\nhalf", Early: true, Delay: 2 * time.Millisecond, End: emulator.PeerResets}, ""},
		{"closed with unread bytes", "/again/", longUpload, emulator.PeerAnswer{Bytes: answerHead + "\r\nhalf", Early: true, End: emulator.PeerClosesUnread}, ""},
		{"stream that is reset after an event", "/stream/", longUpload, emulator.PeerAnswer{Bytes: stream + "\r\n" + event, Early: true, End: emulator.PeerResets}, ""},
		{"orderly end during the upload", "/again/", longUpload, emulator.PeerAnswer{Bytes: answerHead + "\r\ndone", Early: true, End: emulator.PeerCloses}, "done"},
		{"length, then reset", "/again/", longUpload, emulator.PeerAnswer{Bytes: answerHead + "Content-Length: 4\r\n\r\ndone", Early: true, Delay: time.Millisecond, End: emulator.PeerResets}, "done"},
		{"stream with an orderly end", "/stream/", longUpload, emulator.PeerAnswer{Bytes: stream + "\r\n" + event, Early: true, End: emulator.PeerCloses}, event},
		{"interim answers", "/again/", 4, emulator.PeerAnswer{Bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + answerHead + "Content-Length: 4\r\n\r\ndone"}, "done"},
	}
	const fields = "Attempt-Id: ID\r\nRunner-Signature: s\r\n"
	for _, fault := range append(emulator.StatusFaults(fields, "done"), emulator.FieldFaults(fields, "done")...) {
		row := tests[0]
		row.name, row.upload, row.answer = fault.Name, 4, fault.PeerAnswer
		tests = append(tests, row)
	}
	const rounds = 10
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(r *http.Request) emulator.PeerAnswer {
				answer := tt.answer
				answer.Bytes = strings.ReplaceAll(answer.Bytes, "ID", r.Header.Get("Attempt-Id"))
				return answer
			})
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, p.Close()) })
			f := newProcessFixture(t, 1, time.Millisecond)
			f.store.PutAsOperator("op/config", []byte(brokenAnswerConfiguration))
			f.store.PutAsOperator("servers/i-faulty", fmt.Appendf(nil,
				`{"backend":"faulty","address":%q,"zone":"z","version":"v1","batchSlots":64,"phase":"ready","warmupLeftMs":0,"seq":1}`, p.Address()))
			f.start()
			for n := range rounds {
				before := p.Requests()
				response, err := f.upload(t.Context(), fmt.Sprint("f", n), tt.path, strings.Repeat("a", tt.upload), 10*time.Second)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				if tt.whole != "" {
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode, "round %d: %s", n, body)
					require.Equal(t, tt.whole, string(body))
				} else if err == nil {
					require.Equal(t, http.StatusBadGateway, response.StatusCode, "round %d: %q as a whole answer", n, body)
					require.Empty(t, response.Header.Get("Not-Executed"), "it may have run")
				}
				require.Equal(t, before+1, p.Requests(), "it has run once")
			}
		})
	}
}
