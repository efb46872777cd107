package contractor

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

const (
	maxNameLength = 64
	// MaxBudgets is the maximum number of budgets in one contract. It keeps the
	// account's ledger under 1 MB with eight zones.
	MaxBudgets = 4096
	// MaxKeys is the maximum number of bearer keys in one contract.
	MaxKeys = 4096
	// MaxPrepaid is the maximum prepaid total of one budget in tokens.
	MaxPrepaid    Tokens = 1 << 50
	maxWeight            = 1000
	keyHashLength        = 64
)

// FieldError reports one field with an invalid value.
type FieldError struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns the field, its value and the allowed values.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s is %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors lists every invalid field of one value.
type FieldErrors []FieldError

// Error returns all messages, separated by semicolons.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

func (e *FieldErrors) add(field string, value any, allowed string) {
	*e = append(*e, FieldError{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
}

func (e FieldErrors) err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

const nameRule = "1 to 64 characters of a-z, 0-9, '-', '.' and '_'"

// ValidName reports whether a string may name an account, a budget, a zone or an upstream.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '-', r == '.', r == '_':
		default:
			return false
		}
	}
	return true
}

// Validate returns nil or FieldErrors with every invalid field.
func (c *Contract) Validate() error {
	var errs FieldErrors
	if !ValidName(string(c.Account)) {
		errs.add("account", c.Account, nameRule)
	}
	if len(c.Keys) > MaxKeys {
		errs.add("keys", len(c.Keys), fmt.Sprintf("at most %d", MaxKeys))
	}
	for i, k := range c.Keys {
		if !validKeyHash(k.Hash) {
			errs.add(fmt.Sprintf("keys[%d].hash", i), k.Hash, "64 hexadecimal digits")
		}
	}
	c.validateBudgets(&errs)
	if c.Weight < 0 || c.Weight > maxWeight {
		errs.add("weight", c.Weight, fmt.Sprintf("0 to %d", maxWeight))
	}
	c.Rate.validate(&errs)
	return errs.err()
}

func (c *Contract) validateBudgets(errs *FieldErrors) {
	if len(c.Budgets) == 0 {
		errs.add("budgets", "", "at least one budget")
	}
	if len(c.Budgets) > MaxBudgets {
		errs.add("budgets", len(c.Budgets), fmt.Sprintf("at most %d", MaxBudgets))
	}
	seen := make(map[BudgetName]bool, len(c.Budgets))
	for i, b := range c.Budgets {
		field := fmt.Sprintf("budgets[%d]", i)
		if !ValidName(string(b.Name)) {
			errs.add(field+".name", b.Name, nameRule)
		}
		if seen[b.Name] {
			errs.add(field+".name", b.Name, "a name that no other budget of the contract has")
		}
		seen[b.Name] = true
		if b.Prepaid < 0 || b.Prepaid > MaxPrepaid {
			errs.add(field+".prepaid", b.Prepaid, fmt.Sprintf("0 to %d tokens", MaxPrepaid))
		}
		if len(b.Models)+len(b.Services) == 0 {
			errs.add(field+".models", "", "at least one model or service")
		}
	}
}

func (r *Rate) validate(errs *FieldErrors) {
	if r.Requests < 0 {
		errs.add("rate.requests", r.Requests, "0 or more requests per second")
	}
	if r.Burst < 0 {
		errs.add("rate.burst", r.Burst, "0 or more requests")
	}
	if r.Concurrent < 0 {
		errs.add("rate.concurrent", r.Concurrent, "0 or more requests")
	}
}

func validKeyHash(hash KeyHash) bool {
	if len(hash) != keyHashLength {
		return false
	}
	for _, r := range hash {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return false
		}
	}
	return true
}

// Validate returns nil or FieldErrors with every invalid field.
func (u *Upstream) Validate() error {
	var errs FieldErrors
	if !ValidName(u.Name) {
		errs.add("name", u.Name, nameRule)
	}
	if !ValidName(string(u.Zone)) {
		errs.add("zone", u.Zone, nameRule)
	}
	if !validBaseURL(u.URL) {
		errs.add("url", u.URL, "http or https with an IP address and a port")
	}
	if u.Price < 0 {
		errs.add("price", u.Price, "0 or more tokens per call")
	}
	switch u.Kind {
	case KindEngine:
		if len(u.Models) == 0 {
			errs.add("models", "", "at least one model for an engine")
		}
	case KindService:
		if !ValidName(u.Service) {
			errs.add("service", u.Service, nameRule)
		}
	default:
		errs.add("kind", u.Kind, "engine or service")
	}
	return errs.err()
}

func validBaseURL(raw string) bool {
	base, err := url.Parse(raw)
	if err != nil {
		return false
	}
	if base.Scheme != "http" && base.Scheme != "https" {
		return false
	}
	_, err = netip.ParseAddrPort(base.Host)
	return err == nil
}
