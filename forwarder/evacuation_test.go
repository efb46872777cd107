package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/throttler"
)

// Guards against a request for which only evacuated upstreams are left that is sent, delegated, or refused with
// another reason: also one that was delegated, a resumed stream, and one pinned to a version.
func TestRequestIsRefusedWhenAllUpstreamsAreEvacuated(t *testing.T) {
	tests := []struct {
		name, path  string
		delegated   bool
		resumeAfter string
		unreachable bool
		// others is the software version of the upstreams that are not evacuated, or empty if all are.
		others string
	}{
		{name: "plain", path: "/once/"},
		{name: "unreachable before", path: "/once/", unreachable: true},
		{name: "delegated", path: "/again/", delegated: true},
		{name: "resumed stream", path: "/resume/", resumeAfter: "3"},
		{name: "stream of an evacuated version", path: "/resume/", resumeAfter: "3", others: "v2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeUpstreams(t, fakeResponse{status: 200, body: "ok"})
			s.evacuated, s.list = s.list, nil
			if tt.others != "" {
				s.list = []registrar.Upstream{{Name: "other", Service: "drafts", Software: tt.others}}
			}
			config := s.forwarder().config
			other := &otherDaemon{response: respondWith(200, nil, strings.NewReader("elsewhere"))}
			config.Delegate = other
			if tt.unreachable {
				config.Reachability = &reachability{}
			}
			w := httptest.NewRecorder()
			New(config).Serve(t.Context(), w, &Request{
				ID: "7", Method: "POST", Host: "a.example", Path: tt.path, Target: tt.path, Header: http.Header{}, Key: "key",
				Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(), Delegated: tt.delegated, ResumeAfter: tt.resumeAfter,
			})
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Equal(t, "evacuated\n", w.Body.String())
			require.Equal(t, "1.000", w.Header().Get("Retry-After"))
			require.Empty(t, s.calls)
			require.Empty(t, other.requests)
		})
	}
}

// Guards against a request that leaves the regions of its route or account: both restrictions apply, a zone
// without a known region is in none, and a request without a permitted upstream is refused.
func TestHomesRestrictUpstreams(t *testing.T) {
	tests := []struct {
		name           string
		route, account []string
		permitted      []registrar.Name
	}{
		{"none", nil, nil, []registrar.Name{"i0", "i1", "i2", "i3"}},
		{"route", []string{"north"}, nil, []registrar.Name{"i0", "i1"}},
		{"account", nil, []string{"south", "east"}, []registrar.Name{"i2"}},
		{"both", []string{"north", "south"}, []string{"south"}, []registrar.Name{"i2"}},
		{"nothing in common", []string{"north"}, []string{"south"}, nil},
		{"unknown region", []string{""}, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeUpstreams(t, fakeResponse{status: 503, notExecuted: true})
			for i, zone := range []string{"n1", "n2", "s1", "unknown"} {
				s.list[i].Zone = zone
			}
			x := &exchange{forwarder: s.forwarder(), route: &resolver.Route{AllowedRegions: tt.route}, account: &resolver.Account{AllowedRegions: tt.account}}
			x.service = &resolver.Service{Name: "drafts"}
			x.forwarder.config.RegionOf = func(zone string) string {
				return map[string]string{"n1": "north", "n2": "north", "s1": "south"}[zone]
			}
			var permitted []registrar.Name
			for _, u := range x.candidates() {
				permitted = append(permitted, u.Name)
			}
			require.Equal(t, tt.permitted, permitted)
			refusal := x.refuseUnpermitted()
			require.Equal(t, tt.permitted == nil, refusal != nil)
			if refusal != nil {
				require.Equal(t, http.StatusServiceUnavailable, refusal.Reason.Status())
			}
		})
	}
}

// Guards against an upstream that gets requests at full rate after it could not be reached, because the forwarder
// does not tell the throttler.
func TestUnreachableUpstreamIsReported(t *testing.T) {
	s := newFakeUpstreams(t, fakeResponse{err: failureBeforeWrite}, fakeResponse{status: 200, body: "ok"})
	config := s.forwarder().config
	limits := throttler.New(throttler.Config{Warmup: func(service string) throttler.Warmup {
		return throttler.Warmup{Duration: time.Minute, Rate: float64(len(service)), MaxPerSecond: 20}
	}})
	config.Limits = limits
	w := httptest.NewRecorder()
	New(config).Serve(t.Context(), w, &Request{
		ID: "7", Method: "POST", Host: "a.example", Path: "/again/", Target: "/again/", Header: http.Header{}, Key: "key",
		Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
	})
	require.Equal(t, http.StatusOK, w.Code)
	require.Len(t, s.sentTo, 2)
	for _, u := range s.list {
		require.Equal(t, u.Address == s.sentTo[0], limits.IsCold(time.Now(), u.LimitID()), u.Name)
	}
	require.Equal(t, s.sentTo[0], limits.Unreached(time.Now())[0].Address)
}
