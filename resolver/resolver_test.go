package resolver

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func testDocument() Document {
	split := func(name ServiceName) []WeightedService { return []WeightedService{{Service: name, Weight: 1}} }
	return Document{
		Version:  3,
		Services: []Service{{Name: "drafts"}, {Name: "orders"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", TrafficSplit: split("drafts")},
			{Name: "deep", Host: "a.example", Prefix: "/orders/new/", TrafficSplit: split("orders")},
			{Name: "orders", Host: "a.example", Prefix: "/orders/", TrafficSplit: split("orders")},
		},
		Accounts: []Account{{Name: "loft-7", Keys: []string{"k1", "k2"}}},
	}
}

// Prefixes of routes overlap. With any but the longest matching one, requests would reach
// the wrong service.
func TestRouteHasLongestMatchingPrefix(t *testing.T) {
	table, err := NewTable(testDocument())
	require.NoError(t, err)
	tests := []struct {
		name, host, path, want string
	}{
		{"shortest prefix", "a.example", "/x", "all"},
		{"longer prefix", "a.example", "/orders/7", "orders"},
		{"longest prefix", "a.example", "/orders/new/7", "deep"},
		{"prefix ends at a slash", "a.example", "/orders", "all"},
		{"host in mixed case, with port", "A.Example:8080", "/orders/7", "orders"},
		{"unknown host", "b.example", "/orders/7", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			route, ok := table.Route(tt.host, tt.path)
			require.Equal(t, tt.want != "", ok)
			if ok {
				require.Equal(t, tt.want, route.Name)
			}
		})
	}
}

// Operators find an invalid entry in a long configuration by the error alone.
func TestNewTableErrorNamesInvalidEntry(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Document)
		want   string
	}{
		{"prefix without slash", func(d *Document) { d.Routes[1].Prefix = "/x" }, `route "deep"`},
		{"no service", func(d *Document) { d.Routes[0].TrafficSplit = nil }, `route "all"`},
		{"unknown service", func(d *Document) { d.Routes[2].TrafficSplit[0].Service = "x" }, `unknown service "x"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := testDocument()
			tt.change(&d)
			_, err := NewTable(d)
			require.ErrorContains(t, err, tt.want)
			require.ErrorContains(t, err, "configuration 3")
		})
	}
}

// A service with weight 0 must get no requests, also at the boundary between two weights.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{TrafficSplit: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	require.Equal(t, ServiceName("a"), r.Pick(0))
	require.Equal(t, ServiceName("a"), r.Pick(0.89))
	require.Equal(t, ServiceName("b"), r.Pick(0.91))
	require.Equal(t, ServiceName("b"), r.Pick(0.999))
}

// Versions of the configuration can arrive out of order. An older one must not replace a
// newer one.
func TestReplaceRejectsOlderVersions(t *testing.T) {
	var active ActiveTable
	require.Nil(t, active.Table())
	for _, step := range []struct {
		version  int64
		replaced bool
	}{{5, true}, {4, false}, {5, false}, {9, true}} {
		d := testDocument()
		d.Version = step.version
		table, err := NewTable(d)
		require.NoError(t, err)
		require.Equal(t, step.replaced, active.Replace(table))
	}
	require.Equal(t, int64(9), active.Table().Version())
}

// Only repeatable requests and resumable streams may be executed again; Resumable alone
// does not make a request repeatable.
func TestAllowsReexecution(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Repeatability: Once}, false},
		{Route{Repeatability: Once, Resumable: true}, false},
		{Route{Repeatability: Repeatable}, true},
		{Route{Repeatability: Stream}, false},
		{Route{Repeatability: Stream, Resumable: true}, true},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, tt.route.AllowsReexecution(), "%s, resumable %v", tt.route.Repeatability, tt.route.Resumable)
	}
}
