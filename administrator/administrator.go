// Package administrator is the administration API: operators manage contracts,
// upstreams, top-ups, claims and quarantines, and read the state of the fleet, as
// JSON over HTTP.
//
// Changes of contracts and upstreams use optimistic locking. The request carries
// the revision that the operator saw (If-Match), and the change is one transaction
// of the store that compares it with the current revision. If two operators change
// the same contract, one of them gets a conflict that shows the current state.
//
// Changes are also idempotent. The transaction creates an entry of the history under
// the operation id, which is the operator's Idempotency-Key. If a response of the store
// or of this API is lost, the same request is sent again. The entry shows whether the
// change has already been made; it is then not repeated, and its outcome is reported
// correctly. A top-up is recorded under its ID instead.
//
//	admin, err := administrator.New(administrator.Config{Store: store, Watcher: w, Claims: claims, Operators: operators})
//	...
//	http.Serve(listener, admin.Handler())
//
// Client is the Go client of the API:
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
	defaultHistoryRetention = 90 * 24 * time.Hour
	defaultPageSize         = 100
	maxPageSize             = 1000
	maxBodyBytes            = 2 << 20
	// maxCommitAttempts limits the attempts of a commit. Attempts conflict with
	// daemons that write settlements to the same ledger.
	maxCommitAttempts = 16
)

// Role is the permission of an operator.
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

// Watcher distributes changes of the configuration to the daemons.
type Watcher interface {
	// InvalidateContract records a committed change of a contract, which is then in
	// force in this daemon.
	InvalidateContract(account contractor.Account, revision contractor.Revision)
	// DaemonRevisions returns the revisions that the daemons of the given zones have
	// applied, or all daemons if no zone is given.
	DaemonRevisions(ctx context.Context, zones ...contractor.Zone) []watcher.DaemonRevision
}

// Claims gives access to the claims of non-idempotent calls. A claim in the store
// keeps such a call from being executed twice; an operator resolves it if the
// outcome of the call is unknown.
type Claims interface {
	List(ctx context.Context, account contractor.Account, after string, limit int) ([]deduplicator.ClaimInfo, bool, error)
	Show(ctx context.Context, account contractor.Account, key contractor.RequestKey) (deduplicator.ClaimInfo, error)
	Resolve(ctx context.Context, account contractor.Account, key contractor.RequestKey, r deduplicator.Resolution) error
}

// Quarantine lifts the quarantine of requests, which are refused because they
// crashed upstreams.
type Quarantine interface {
	Lift(ctx context.Context, d quarantiner.Digest) error
}

// Config holds the settings of an Administrator.
type Config struct {
	Store   persister.Store
	Watcher Watcher
	Claims  Claims
	// Quarantine may be nil. Then no quarantine can be lifted.
	Quarantine Quarantine
	Operators  []Operator
	// HistoryRetention is how long the history of changes is kept. Zero means 90 days.
	HistoryRetention time.Duration
	Recorder         *recorder.Recorder
}

// Administrator serves the administration API.
type Administrator struct {
	config        Config
	historyLeases *persister.LeaseCache
	operators     atomic.Pointer[map[contractor.KeyHash]Operator]
}

// New returns an Administrator.
func New(c Config) (*Administrator, error) {
	if c.Store == nil || c.Watcher == nil || c.Claims == nil {
		return nil, errors.New("administrator: store, watcher and claims are needed")
	}
	if c.HistoryRetention <= 0 {
		c.HistoryRetention = defaultHistoryRetention
	}
	a := &Administrator{config: c, historyLeases: persister.NewLeaseCache(c.Store, c.HistoryRetention)}
	return a, a.SetOperators(c.Operators)
}

// SetOperators replaces the operators, for example after the settings were reloaded.
func (a *Administrator) SetOperators(operators []Operator) error {
	byHash := make(map[contractor.KeyHash]Operator, len(operators))
	for _, o := range operators {
		if other, ok := byHash[o.Hash]; ok {
			return fmt.Errorf("administrator: operators %q and %q have the same key", other.Name, o.Name)
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
