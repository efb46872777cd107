package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Digest identifies the content of a request.
type Digest [16]byte

// String returns the digest as 32 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest is the inverse of String.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Digest{}) {
		return Digest{}, fmt.Errorf("digest %q is not 32 hexadecimal digits", text)
	}
	return Digest(raw), nil
}

// ignoredFields are the fields of a request that do not affect the work of the engine.
var ignoredFields = []string{
	"idempotency_key", "metadata", "offset", "priority", "request_id",
	"resume", "seed", "stream", "stream_options", "user",
}

// DigestOf returns the digest of a request body. JSON objects have the same digest if they
// differ only in the order of their fields, in the white space between fields, or in
// ignoredFields. Within a field every byte counts.
func DigestOf(body []byte) Digest {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		sum := sha256.Sum256(body)
		return Digest(sum[:len(Digest{})])
	}
	for _, name := range ignoredFields {
		delete(fields, name)
	}
	return digestOfFields(fields)
}

func digestOfFields(fields map[string]json.RawMessage) Digest {
	hash := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(hash, "%q:%d:", name, len(fields[name]))
		hash.Write(fields[name])
	}
	return Digest(hash.Sum(nil)[:len(Digest{})])
}
