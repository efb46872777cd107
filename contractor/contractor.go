// Package contractor defines contracts and the identifiers shared by all packages.
//
// A contract belongs to one client account. It lists the bearer keys of the
// account, its prepaid budgets, the models and plain services that each budget
// pays for, and the rate at which the account may send requests. The contract
// alone determines the limits of an account.
//
// Contracts are plain values. Validate reports every invalid field at once:
//
//	c := contractor.Contract{Account: "loft-7"}
//	if err := c.Validate(); err != nil {
//		return err // lists each field, its value and what is allowed
//	}
package contractor

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Account names a client account. It is 1 to 64 characters of a-z, 0-9, '-', '.' and '_'.
type Account string

// BudgetName names a prepaid budget within an account.
type BudgetName string

// Member names the person or company that a bearer key belongs to.
type Member string

// Zone names an availability zone.
type Zone string

// Region names a region of several availability zones.
type Region string

// VM names a virtual machine of the platform.
type VM string

// Incarnation identifies one start of a daemon on its VM. Zero means none.
type Incarnation uint64

// Epoch numbers the successive keepers of an account in a zone. A keeper is the
// daemon that grants the reservations of the account there. Zero means none yet.
type Epoch uint64

// Revision is a revision of the store. Zero means that a key does not exist.
type Revision int64

// Tokens is an amount of a prepaid budget. A call of a plain service has a price in tokens.
type Tokens int64

// RequestKey identifies one request of an account for billing and for retries.
type RequestKey [16]byte

// NewRequestKey derives the key of a request from the account and its idempotency key.
func NewRequestKey(account Account, idempotencyKey string) RequestKey {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + idempotencyKey))
	return RequestKey(sum[:16])
}

// String returns the key as 32 hexadecimal digits.
func (k RequestKey) String() string { return hex.EncodeToString(k[:]) }

// BudgetID identifies a prepaid budget across the fleet.
type BudgetID struct {
	Account Account
	Name    BudgetName
}

// String returns the account and the budget's name, separated by a slash.
func (b BudgetID) String() string { return string(b.Account) + "/" + string(b.Name) }

// KeyHash is the SHA-256 digest of a bearer key as 64 hexadecimal digits.
type KeyHash string

// HashKey returns the hash under which a contract lists a bearer key.
func HashKey(bearer string) KeyHash {
	sum := sha256.Sum256([]byte(bearer))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Key is a bearer key that may act for an account.
type Key struct {
	// Hash is the digest of the bearer key. The key itself is never stored.
	Hash KeyHash `json:"hash" cbor:"1,keyasint"`
	// Member is the member that the key belongs to. Empty means the account as a whole.
	Member Member `json:"member,omitempty" cbor:"2,keyasint,omitempty"`
}

// Budget holds the terms of one prepaid budget. Its balance is in the ledger.
type Budget struct {
	Name BudgetName `json:"name" cbor:"1,keyasint"`
	// Members are the members that may use the budget. Empty means every member.
	Members []Member `json:"members,omitempty" cbor:"2,keyasint,omitempty"`
	// Models are the engine models that the budget pays for.
	Models []string `json:"models,omitempty" cbor:"3,keyasint,omitempty"`
	// Services are the plain services that the budget pays for.
	Services []string `json:"services,omitempty" cbor:"4,keyasint,omitempty"`
	// Prepaid is the initial balance in tokens. Later top-ups are in the ledger.
	Prepaid Tokens `json:"prepaid,omitempty" cbor:"5,keyasint,omitempty"`
}

// Rate limits the requests of an account, summed over all zones. A zero field means no limit.
type Rate struct {
	// Requests is the number of requests per second.
	Requests float64 `json:"requests,omitempty" cbor:"1,keyasint,omitempty"`
	// Burst is the number of requests that may arrive at once.
	Burst int `json:"burst,omitempty" cbor:"2,keyasint,omitempty"`
	// Concurrent is the number of requests that may run at once.
	Concurrent int `json:"concurrent,omitempty" cbor:"3,keyasint,omitempty"`
}

// Contract holds the keys, budgets and limits of one client account.
type Contract struct {
	Account Account  `json:"account" cbor:"1,keyasint"`
	Keys    []Key    `json:"keys" cbor:"2,keyasint"`
	Budgets []Budget `json:"budgets" cbor:"3,keyasint"`
	// Weight is the account's relative share of upstream capacity when accounts
	// compete for it. Zero means 1.
	Weight int  `json:"weight,omitempty" cbor:"4,keyasint,omitempty"`
	Rate   Rate `json:"rate,omitzero" cbor:"5,keyasint,omitzero"`
	// Retired is true once the contract has ended. A retired contract stays as a tombstone.
	Retired bool `json:"retired,omitempty" cbor:"6,keyasint,omitempty"`
}

// MemberOf returns the member that a bearer key acts for.
func (c *Contract) MemberOf(hash KeyHash) (Member, bool) {
	for _, k := range c.Keys {
		if strings.EqualFold(string(k.Hash), string(hash)) {
			return k.Member, true
		}
	}
	return "", false
}

// BudgetFor returns the first budget that member may use and that pays for the target,
// the name of a model or of a service.
func (c *Contract) BudgetFor(member Member, kind Kind, target string) (Budget, bool) {
	for _, b := range c.Budgets {
		if b.allowsMember(member) && b.covers(kind, target) {
			return b, true
		}
	}
	return Budget{}, false
}

func (b *Budget) allowsMember(member Member) bool {
	if len(b.Members) == 0 {
		return true
	}
	for _, m := range b.Members {
		if m == member {
			return true
		}
	}
	return false
}

func (b *Budget) covers(kind Kind, target string) bool {
	names := b.Models
	if kind == KindService {
		names = b.Services
	}
	for _, n := range names {
		if n == target {
			return true
		}
	}
	return false
}
