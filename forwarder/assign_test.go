package forwarder

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/pinner"
)

// strictArchive refuses to move a stream to another version if the store does not answer.
type strictArchive struct {
	unavailable bool
	assigned    []string // versions, in order
	withdrawn   int
}

var errStoreUnavailable = errors.New("the store does not answer")

func (a *strictArchive) Assign(_ context.Context, _ pinner.Stream, software string) error {
	if len(a.assigned) > 0 && a.assigned[len(a.assigned)-1] != software && a.unavailable {
		return errStoreUnavailable
	}
	a.assigned = append(a.assigned, software)
	return nil
}

func (a *strictArchive) Begin(pinner.Stream) {}

func (a *strictArchive) Withdraw(context.Context, pinner.Stream, bool) error {
	if a.unavailable {
		return errStoreUnavailable
	}
	a.withdrawn++
	return nil
}

func (a *strictArchive) Find(context.Context, pinner.Stream) (string, bool, error) {
	return "", false, nil
}

func newArchivePinner(a *strictArchive) *pinner.Pinner {
	return pinner.New(pinner.Config{Archive: a, Peers: func() []netip.AddrPort { return nil }})
}

// Before the first event a request may be sent to several upstreams. The version that the store has on record must be that of
// the last one: first the others of its version are tried, and one of another version only once that is on record.
func TestRequestIsSentToAnotherVersionOnceThatIsRecorded(t *testing.T) {
	failed, served := fakeResponse{err: failureAfterWrite}, fakeResponse{status: 200, header: eventStreamHeader, body: sseEvent("1")}
	tests := []struct {
		name        string
		versions    []string // of the four upstreams
		path        string
		unavailable bool
		responses   []fakeResponse
		status      int
		sends       int
		assigned    []string
	}{
		{"one send", []string{"v1", "v1", "v1", "v1"}, "/resume/", false, []fakeResponse{served}, 200, 1, []string{"v1"}},
		{"the same version again", []string{"v1", "v1", "v2", "v2"}, "/resume/", true, []fakeResponse{failed, served}, 200, 2, []string{"v1"}},
		{"another version", []string{"v1", "v2", "v2", "v2"}, "/resume/", false, []fakeResponse{failed, served}, 200, 2, []string{"v1", "v2"}},
		{"another version, not recorded", []string{"v1", "v2", "v2", "v2"}, "/resume/", true, []fakeResponse{failed, served}, 502, 1, []string{"v1"}},
		{"not resumable", []string{"v1", "v2", "v2", "v2"}, "/stream/", false, []fakeResponse{served}, 200, 1, nil},
		{"no stream", []string{"v1", "v2", "v2", "v2"}, "/again/", true, []fakeResponse{failed, {status: 200, body: "b"}}, 200, 2, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, archive := newFakeUpstreams(t, tt.responses...), &strictArchive{unavailable: tt.unavailable}
				for i, software := range tt.versions {
					s.list[i].Software = software
				}
				f := s.forwarder()
				f.config.Streams = newArchivePinner(archive)
				w := serveWith(t.Context(), f, tt.path, "")
				require.Equal(t, tt.status, w.Code)
				require.Len(t, s.sentTo, tt.sends)
				require.Equal(t, tt.assigned, archive.assigned)
			})
		})
	}
}

// A second send may begin the stream as well as the first one. To another version it is made only if the store has no record of
// the stream.
func TestSecondSendToAnotherVersionNeedsNoRecord(t *testing.T) {
	tests := []struct {
		name             string
		sameVersion      bool
		unavailable      bool
		sends, withdrawn int
	}{
		{"the same version", true, true, 2, 0},
		{"another version", false, false, 2, 1},
		{"another version, record not withdrawn", false, true, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, archive := newHedgeTest(t, streamAfter(time.Second), streamAfter(50*time.Millisecond)), &strictArchive{unavailable: tt.unavailable}
				h.forwarder.config.Streams = newArchivePinner(archive)
				for i := range h.list {
					if !tt.sameVersion {
						h.list[i].Software = string(h.list[i].Name)
					}
				}
				w, _, _ := h.serve(t.Context(), h.request("/resume/"))
				require.Equal(t, 200, w.Code)
				require.Len(t, h.sentTo, tt.sends)
				require.Equal(t, tt.withdrawn, archive.withdrawn)
				require.Len(t, archive.assigned, 1)
			})
		})
	}
}
