// Package director finds the route, the service and the client account of a request.
//
// Operators publish one configuration with a version: routes by host and path
// prefix, the services that they lead to, the keys of client accounts, and what a
// caller may send. A Table is one version, made ready for lookups. It does not
// change; the next version is another Table. A Holder has the Table in force and
// never goes back to an older version.
//
//	table, err := director.NewTable(document)
//	...
//	route, ok := table.Route("ficu95.example", "/drafts/7")
//	account, ok := table.AccountOf(bearer)
package director

import (
	"fmt"
	"strings"
	"time"

	"laburnumline/contractor"
)

// ServiceName names a service, which is a set of upstreams that run the same requests.
type ServiceName string

// Repeatability says how often a request of a route may run.
type Repeatability uint8

const (
	// Once is for requests that run at most once for each call.
	Once Repeatability = iota
	// Repeatable is for requests that may run again.
	Repeatable
	// Stream is for answers that are series of events. They run once, unless the
	// route is resumable.
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

// WeightedService is one service of a route and its weight among the route's services.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route says how requests below a path prefix of a host are served.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Repeatability Repeatability
	Resumable     bool
	Anonymous     bool
	// Timeout is the longest time that a request may be kept.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a
	// stream, is in time.
	TargetLatency time.Duration
	// Attempts is the largest number of upstreams that one call may be sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority     int
	TrafficSplit []WeightedService
}

// AllowsReexecution reports whether a request that may have run can be sent once more.
func (r *Route) AllowsReexecution() bool {
	return r.Repeatability == Repeatable || r.Repeatability == Stream && r.Resumable
}

// Service is a set of upstreams that run the same requests.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is the number of connections that one upstream takes from all daemons.
	MaxConnections int
	// Engine is true for model engines, whose work is counted in tokens.
	Engine bool
	// TokensPerEvent is the largest number of output tokens in an event of a stream.
	TokensPerEvent int64
	// CacheTokens is the memory of one upstream for prompts, in tokens.
	CacheTokens int64
	// Slots is the number of requests that an engine runs at once.
	Slots int
}

// Account is a client account: its keys, its rank and what it has prepaid.
type Account struct {
	Name contractor.Account
	Keys []string
	// Priority goes before the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is what the account may consume in all. Without HasPrepaid its
	// consumption has no bound.
	Prepaid    contractor.Tokens
	HasPrepaid bool
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration as operators wrote it.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table is one version of the configuration, ready for lookups. It is read only.
type Table struct {
	document      Document
	routesByHost  map[string][]*Route // longest prefix first
	services      map[ServiceName]*Service
	accountsByKey map[string]*Account // by key
}

// NewTable checks a document and returns its table. The error names the entry at fault.
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

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.document.Limits }

// Accounts returns all client accounts. Callers do not change them.
func (t *Table) Accounts() []Account { return t.document.Accounts }

// Services returns all services. Callers do not change them.
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

// HasAccounts reports whether requests need a key.
func (t *Table) HasAccounts() bool { return len(t.document.Accounts) > 0 }

// Route returns the route of a host whose prefix is the longest that begins the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
