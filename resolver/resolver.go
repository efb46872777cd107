// Package resolver finds the route, service and client account of a request.
//
// Operators publish a versioned configuration: routes by host and path prefix, the
// services that the routes forward to, the keys of client accounts, and limits on
// requests. A Table is an immutable lookup structure for one version. An ActiveTable
// holds the Table in force; it never returns to an older version.
//
//	table, err := resolver.NewTable(document)
//	...
//	route, ok := table.Route("ficu95.example", "/drafts/7")
//	account, ok := table.AccountOf(key)
package resolver

import (
	"fmt"
	"strings"
	"time"

	"laburnumline/contractor"
)

// ServiceName is the name of a service.
type ServiceName string

// Repeatability says whether upstreams may execute a request of a route more than once.
type Repeatability uint8

const (
	// Once is for requests that may be executed at most once per call.
	Once Repeatability = iota
	// Repeatable is for requests that may be executed again.
	Repeatable
	// Stream is for requests whose responses are event streams. They may be executed
	// again only if the route is resumable.
	Stream
)

// String returns the name that logs show.
func (r Repeatability) String() string {
	names := [...]string{"once", "repeatable", "stream"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("repetition(%d)", uint8(r))
}

// WeightedService is a service of a route and its weight in the route's traffic split.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route describes how requests below a path prefix of a host are served.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Repeatability Repeatability
	Resumable     bool
	Anonymous     bool // requests need no key
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// TargetLatency is the time within which a response, or the first event of a
	// stream, should arrive.
	TargetLatency time.Duration
	// Attempts is the maximum number of attempts of one request.
	Attempts int
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority     int
	TrafficSplit []WeightedService
	// AllowedRegions are the only regions in which upstreams may run the requests. Empty means all.
	AllowedRegions []string
}

// AllowsReexecution reports whether a request that may have been executed can be sent
// again.
func (r *Route) AllowsReexecution() bool {
	return r.Repeatability == Repeatable || r.Repeatability == Stream && r.Resumable
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is the maximum number of connections from all daemons to one upstream.
	MaxConnections int
	// Engine is true for model engines, whose work is counted in tokens.
	Engine bool
	// TokensPerEvent is the maximum number of output tokens in one event of a stream.
	TokensPerEvent int64
	// CacheTokens is the capacity of one upstream's prompt cache, in tokens.
	CacheTokens int64
	// Slots is the number of requests that an engine executes concurrently.
	Slots int
	// Warmup is how long an upstream is cold after its start, and WarmupRate the number of requests per
	// second that it tolerates in that time. If one of them is zero, upstreams are never cold.
	Warmup     time.Duration
	WarmupRate float64
}

// Account is a client account with its keys, priority and prepaid budget.
type Account struct {
	Name contractor.Account
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the total number of tokens that the account may consume. Without
	// HasPrepaid its consumption is not limited.
	Prepaid    contractor.Tokens
	HasPrepaid bool
	// AllowedRegions are the only regions in which upstreams may run the requests. Empty means all.
	AllowedRegions []string
}

// Limits are the limits on the size and duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration as published by operators.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table is an immutable lookup structure for one version of the configuration.
type Table struct {
	document      Document
	routesByHost  map[string][]*Route // longest prefix first
	services      map[ServiceName]*Service
	accountsByKey map[string]*Account
}

// NewTable validates a document and returns its table. The error names the invalid entry.
func NewTable(d Document) (*Table, error) {
	t := &Table{
		document:      d,
		routesByHost:  make(map[string][]*Route),
		services:      make(map[ServiceName]*Service, len(d.Services)),
		accountsByKey: make(map[string]*Account),
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := t.addRoute(&d.Routes[i]); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", d.Version, err)
		}
	}
	t.sortRoutes()
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			t.accountsByKey[key] = &d.Accounts[i]
		}
	}
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.document.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.document.Limits }

// Accounts returns all client accounts. Callers must not modify them.
func (t *Table) Accounts() []Account { return t.document.Accounts }

// Services returns all services. Callers must not modify them.
func (t *Table) Services() []Service { return t.document.Services }

// Service returns a service by its name.
func (t *Table) Service(name ServiceName) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// AccountOf returns the client account that holds a key.
func (t *Table) AccountOf(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// HasAccounts reports whether the configuration has client accounts. If it has, requests
// need a key unless their route is anonymous.
func (t *Table) HasAccounts() bool { return len(t.document.Accounts) > 0 }

// HasHost reports whether a host has routes.
func (t *Table) HasHost(host string) bool { return len(t.routesByHost[hostName(host)]) > 0 }

// Route returns the route of a host with the longest prefix that matches the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
