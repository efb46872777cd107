package resolver

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
)

func (t *Table) addRoute(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %q: invalid host %q or prefix %q", r.Name, r.Host, r.Prefix)
	}
	if len(r.TrafficSplit) == 0 {
		return fmt.Errorf("route %q has no service", r.Name)
	}
	for _, s := range r.TrafficSplit {
		if _, ok := t.services[s.Service]; !ok {
			return fmt.Errorf("route %q refers to unknown service %q", r.Name, s.Service)
		}
	}
	r.Attempts = max(r.Attempts, 1)
	host := hostName(r.Host)
	t.routesByHost[host] = append(t.routesByHost[host], r)
	return nil
}

func (t *Table) sortRoutes() {
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns a service of the route's traffic split, by weighted selection. The
// fraction is a random number from 0 to below 1.
func (r *Route) Pick(fraction float64) ServiceName {
	totalWeight := 0.0
	for _, s := range r.TrafficSplit {
		totalWeight += s.Weight
	}
	remaining := fraction * totalWeight
	for _, s := range r.TrafficSplit {
		if s.Weight <= 0 {
			continue
		}
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// ActiveTable holds the table in force. The zero value holds none.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first one.
func (a *ActiveTable) Table() *Table { return a.table.Load() }

// Replace puts a table in force and reports whether it did. It ignores a table whose
// version is not higher than that of the table in force.
func (a *ActiveTable) Replace(t *Table) bool {
	for {
		current := a.table.Load()
		if current != nil && current.Version() >= t.Version() {
			return false
		}
		if a.table.CompareAndSwap(current, t) {
			return true
		}
	}
}
