package configurer

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"laburnumline/contractor"
)

// Size is a number of bytes.
type Size int64

// Units of sizes in settings.
const (
	Byte Size = 1
	KB        = 1000 * Byte
	MB        = 1000 * KB
	GB        = 1000 * MB
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

var sizeUnits = []struct {
	name string
	size Size
}{
	{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"KB", KB}, {"MB", MB}, {"GB", GB}, {"B", Byte},
}

const sizeRule = "a whole number with a unit: B, KB, MB, GB, KiB, MiB or GiB"

// UnmarshalFlag parses a size such as 16MB.
func (s *Size) UnmarshalFlag(value string) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(value, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > int64(maxSize/u.size) {
			return newRuleError(sizeRule)
		}
		*s = Size(n) * u.size
		return nil
	}
	return newRuleError(sizeRule)
}

const maxSize = Size(1 << 50)

// String returns the size in the largest decimal unit of which it is a multiple.
func (s Size) String() string {
	for _, u := range []struct {
		name string
		size Size
	}{{"GB", GB}, {"MB", MB}, {"KB", KB}} {
		if s >= u.size && s%u.size == 0 {
			return fmt.Sprintf("%d%s", s/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// Address is an IP address and a port.
type Address struct{ netip.AddrPort }

// UnmarshalFlag parses an address such as 10.0.0.7:8080.
func (a *Address) UnmarshalFlag(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		return newRuleError("an IP address and a port, such as 10.0.0.7:8080 or [::1]:8080")
	}
	a.AddrPort = parsed
	return nil
}

// URL is an http or https URL whose host is an IP address and a port.
type URL struct{ *url.URL }

// UnmarshalFlag parses a URL such as http://10.0.0.9:2379.
func (u *URL) UnmarshalFlag(value string) error {
	const rule = "an http or https URL with an IP address and a port, such as http://10.0.0.9:2379"
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return newRuleError(rule)
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		return newRuleError(rule)
	}
	u.URL = parsed
	return nil
}

// String returns the URL, or an empty string if it is not set.
func (u URL) String() string {
	if u.URL == nil {
		return ""
	}
	return u.URL.String()
}

// Incarnation identifies one start of the daemon. Zero means auto: the daemon takes the
// number from the clock.
type Incarnation contractor.Incarnation

// UnmarshalFlag parses "auto" or a positive number.
func (i *Incarnation) UnmarshalFlag(value string) error {
	if value == "auto" {
		*i = 0
		return nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil || n == 0 {
		return newRuleError("auto, or a number from 1 that is larger with each start")
	}
	*i = Incarnation(n)
	return nil
}

// At returns the incarnation of a daemon that starts at now. For auto it is the number of
// microseconds since 1970.
func (i Incarnation) At(now time.Time) contractor.Incarnation {
	if i != 0 {
		return contractor.Incarnation(i)
	}
	return contractor.Incarnation(now.UnixMicro())
}

// LostReservation says who pays for a reservation whose daemon was lost before it settled
// the request.
type LostReservation uint8

const (
	// ChargeLost charges the maximum cost of the request to the client account.
	ChargeLost LostReservation = iota
	// ReleaseLost releases the reservation, so that the fleet's operator bears the cost.
	ReleaseLost
)

// String returns "charge" or "release".
func (l LostReservation) String() string {
	if l == ReleaseLost {
		return "release"
	}
	return "charge"
}

// UnmarshalFlag accepts "charge" and "release".
func (l *LostReservation) UnmarshalFlag(value string) error {
	return parseChoice(l, value, ChargeLost, ReleaseLost)
}

// StalePolicy says how a daemon handles requests while its contracts may be outdated.
type StalePolicy uint8

const (
	// RefuseStale refuses requests.
	RefuseStale StalePolicy = iota
	// ServeStale serves requests with the newest known contract.
	ServeStale
)

// String returns "refuse" or "serve".
func (p StalePolicy) String() string {
	if p == ServeStale {
		return "serve"
	}
	return "refuse"
}

// UnmarshalFlag accepts "refuse" and "serve".
func (p *StalePolicy) UnmarshalFlag(value string) error {
	return parseChoice(p, value, RefuseStale, ServeStale)
}

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
	// Hash is the SHA-256 of the operator's bearer key.
	Hash contractor.KeyHash
}

const keyHashDigits = 64

// UnmarshalFlag parses a name, a role and the SHA-256 of a key.
func (o *Operator) UnmarshalFlag(value string) error {
	const rule = "NAME ROLE HASH, with role viewer or editor and the SHA-256 of the key in 64 hexadecimal digits"
	words := strings.Fields(value)
	if len(words) != 3 || !contractor.ValidName(words[0]) {
		return newRuleError(rule)
	}
	var role Role
	if err := parseChoice(&role, words[1], Viewer, Editor); err != nil {
		return newRuleError(rule)
	}
	hash := strings.ToLower(words[2])
	if len(hash) != keyHashDigits || strings.Trim(hash, "0123456789abcdef") != "" {
		return newRuleError(rule)
	}
	*o = Operator{Name: words[0], Role: role, Hash: contractor.KeyHash(hash)}
	return nil
}

// parseChoice sets target to the choice whose String is value.
func parseChoice[T fmt.Stringer](target *T, value string, choices ...T) error {
	names := make([]string, len(choices))
	for i, c := range choices {
		if c.String() == value {
			*target = c
			return nil
		}
		names[i] = c.String()
	}
	return newRuleError(strings.Join(names, " or "))
}
