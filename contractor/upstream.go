package contractor

import "fmt"

// Kind is the kind of an upstream.
type Kind uint8

const (
	// KindEngine is a model engine, billed by tokens.
	KindEngine Kind = iota
	// KindService is a plain service, billed by calls.
	KindService
)

// String returns "engine" or "service".
func (k Kind) String() string {
	switch k {
	case KindEngine:
		return "engine"
	case KindService:
		return "service"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MarshalText returns the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText accepts "engine" and "service".
func (k *Kind) UnmarshalText(text []byte) error {
	switch string(text) {
	case "engine":
		*k = KindEngine
	case "service":
		*k = KindService
	default:
		return fmt.Errorf("kind %q is not engine or service", text)
	}
	return nil
}

// Upstream describes one back end as an operator announced it.
type Upstream struct {
	// Name is unique among all upstreams.
	Name string `json:"name" cbor:"1,keyasint"`
	Kind Kind   `json:"kind" cbor:"2,keyasint"`
	// URL is the base URL, with an IP address as host.
	URL  string `json:"url" cbor:"3,keyasint"`
	Zone Zone   `json:"zone" cbor:"4,keyasint"`
	VM   VM     `json:"vm,omitempty" cbor:"5,keyasint,omitempty"`
	// Models are the models, adapters and versions that an engine serves.
	Models []string `json:"models,omitempty" cbor:"6,keyasint,omitempty"`
	// Service is the plain service that the upstream is a replica of.
	Service string `json:"service,omitempty" cbor:"7,keyasint,omitempty"`
	// Price is the cost of one call of a plain service in tokens.
	Price Tokens `json:"price,omitempty" cbor:"8,keyasint,omitempty"`
	// Repeatable is true when a call may be sent again although an earlier attempt may
	// have been executed. Engines are always repeatable.
	Repeatable bool `json:"repeatable,omitempty" cbor:"9,keyasint,omitempty"`
	// Fenced is true when the engine rejects orders that carry an old fencing number.
	Fenced bool `json:"fenced,omitempty" cbor:"10,keyasint,omitempty"`
	// Leaving is true once the operator has announced the upstream's removal.
	Leaving bool `json:"leaving,omitempty" cbor:"11,keyasint,omitempty"`
	// Software is the version of an engine's software. A stream resumes only at an engine with
	// the version that began it.
	Software string `json:"software,omitempty" cbor:"12,keyasint,omitempty"`
}
