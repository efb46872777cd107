package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/connector"
	"laburnumline/persister"
	"laburnumline/registrar"
)

// leavingUpstreams are upstreams that state in their responses whether they leave.
type leavingUpstreams struct {
	leaving map[netip.AddrPort]bool
	sentTo  map[netip.AddrPort]int
}

func (u *leavingUpstreams) Send(_ context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	u.sentTo[address]++
	return &connector.Response{
		Status: 200, Header: http.Header{}, Body: strings.NewReader("ok"), Length: -1,
		Metadata: connector.Metadata{ID: call.ID, Signed: true, Leaving: u.leaving[address]},
	}, nil
}

// An upstream that leaves may say so in its responses before the store does, or while the store is
// away. It gets no request after the first such response, until it has started anew.
func TestUpstreamThatStatesItsLeavingGetsNoRequests(t *testing.T) {
	u := &leavingUpstreams{leaving: make(map[netip.AddrPort]bool), sentTo: make(map[netip.AddrPort]int)}
	startedAtMs := int64(1)
	list := registrar.New(registrar.Config{Decode: func(key string, _ []byte) (registrar.Upstream, error) {
		return registrar.Upstream{Name: registrar.Name(key), Service: "drafts", Address: netip.MustParseAddrPort("10.0.0." + key + ":80"), StartedAtMs: startedAtMs}, nil
	}})
	entries := []persister.Entry{{Key: "1"}, {Key: "2"}, {Key: "3"}}
	list.Reset(entries)
	fake := newFakeUpstreams(t)
	config := fake.forwarder().config
	config.Sender, config.Upstreams = u, list
	f := New(config)
	send := func(n int) {
		for i := range n {
			f.Serve(t.Context(), httptest.NewRecorder(), &Request{
				ID: fmt.Sprint(i), Method: "POST", Host: "a.example", Path: "/once/", Target: "/once/", Header: http.Header{}, Key: "key",
				Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
			})
		}
	}
	send(3)
	leaving := netip.MustParseAddrPort("10.0.0.1:80")
	u.leaving[leaving] = true
	before := u.sentTo[leaving]
	send(100)
	require.Equal(t, before+1, u.sentTo[leaving])
	list.Reset(entries) // its entry does not say so
	send(100)
	require.Equal(t, before+1, u.sentTo[leaving])
	list.Reset(entries[1:]) // the entry expires while the store is away, and comes back
	list.Reset(entries)
	send(100)
	require.Equal(t, before+1, u.sentTo[leaving])

	u.leaving[leaving], startedAtMs = false, time.Now().Add(time.Second).UnixMilli()
	list.Reset(entries)
	send(100)
	require.Greater(t, u.sentTo[leaving], before+1)
}
