// Package administrator serves operators: contracts, upstreams, top-ups,
// claims and the state of the fleet, as JSON over HTTP.
//
// Every change is one transaction of the store. It compares the revision that
// the operator saw (If-Match), so of two operators who race one gets a conflict
// that shows the current state. The transaction also creates an entry of the
// history whose key has the operation id, which is the operator's
// Idempotency-Key. When an answer of the store or of this API is lost, the
// same request is sent again: the entry tells that the change has been made, so
// it is neither reported wrongly nor made twice.
//
//	admin, err := administrator.New(administrator.Config{Store: store, Watcher: w, Claims: claims, Operators: operators})
//	...
//	http.Serve(listener, admin.Handler())
//
// Client is the Go side of the API:
//
//	client := administrator.NewClient("https://127.0.0.1:8444", key)
//	state, err := client.AmendContract(ctx, contract, revision)
package administrator

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/persister"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/watcher"
)

const (
	defaultKeepHistory = 90 * 24 * time.Hour
	defaultPageSize    = 100
	maxPageSize        = 1000
	maxBody            = 2 << 20 // bytes
	// commitTries bounds the races with flushes of the ledger.
	commitTries = 16
)

// Role says what an operator may do.
type Role uint8

const (
	// Viewer may read everything.
	Viewer Role = iota
	// Editor may also change everything.
	Editor
)

// String returns "viewer" or "editor".
func (r Role) String() string {
	if r == Editor {
		return "editor"
	}
	return "viewer"
}

// Operator is one user of the administration API.
type Operator struct {
	Name string
	Role Role
	// Hash is the digest of the operator's bearer key.
	Hash contractor.KeyHash
}

// Watcher knows what is in force.
type Watcher interface {
	// InvalidateContract puts a change of a contract in force in this daemon.
	InvalidateContract(account contractor.Account, revision contractor.Revision)
	// DaemonRevisions asks the daemons of zones, or all daemons.
	DaemonRevisions(ctx context.Context, zones ...contractor.Zone) []watcher.DaemonRevision
}

// Claims are the claims of calls that may not be repeated.
type Claims interface {
	List(ctx context.Context, account contractor.Account, after string, limit int) ([]deduplicator.ClaimInfo, bool, error)
	Show(ctx context.Context, account contractor.Account, key contractor.RequestKey) (deduplicator.ClaimInfo, error)
	Resolve(ctx context.Context, account contractor.Account, key contractor.RequestKey, r deduplicator.Resolution) error
}

// Quarantine lifts the quarantine of requests that crashed upstreams.
type Quarantine interface {
	Lift(ctx context.Context, d quarantiner.Digest) error
}

// Config holds the settings of an Administrator.
type Config struct {
	Store   persister.Store
	Watcher Watcher
	Claims  Claims
	// Quarantine may be nil.
	Quarantine Quarantine
	Operators  []Operator
	// KeepHistory is how long the history of changes is kept. Zero means 90 days.
	KeepHistory time.Duration
	Recorder    *recorder.Recorder
}

// Administrator serves operators.
type Administrator struct {
	config    Config
	history   *persister.LeaseCache
	operators atomic.Pointer[map[contractor.KeyHash]Operator]
}

// New returns an Administrator.
func New(c Config) (*Administrator, error) {
	if c.Store == nil || c.Watcher == nil || c.Claims == nil {
		return nil, errors.New("administrator: store, watcher and claims are needed")
	}
	if c.KeepHistory <= 0 {
		c.KeepHistory = defaultKeepHistory
	}
	a := &Administrator{config: c, history: persister.NewLeaseCache(c.Store, c.KeepHistory)}
	return a, a.SetOperators(c.Operators)
}

// SetOperators replaces the operators, for example after the settings were read again.
func (a *Administrator) SetOperators(operators []Operator) error {
	byHash := make(map[contractor.KeyHash]Operator, len(operators))
	for _, o := range operators {
		if taken, ok := byHash[o.Hash]; ok {
			return fmt.Errorf("administrator: operators %q and %q have the same key", taken.Name, o.Name)
		}
		byHash[o.Hash] = o
	}
	a.operators.Store(&byHash)
	return nil
}

// audit logs one accepted change.
func (a *Administrator) audit(e *Entry, subject string, revision contractor.Revision) {
	a.config.Recorder.Event(recorder.ChangeAccepted,
		"operator", e.Operator, "action", e.Action, "subject", subject,
		"revision", int64(revision), "before", int64(e.Before), "operation", e.Operation)
}
