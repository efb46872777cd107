package persister

import (
	"laburnumline/contractor"
)

// The types in this file are the messages of the JSON gateway of etcd v3. It
// encodes bytes as base64 and 64-bit integers as strings.

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type wireKeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (kv *wireKeyValue) entry() Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: contractor.Revision(kv.ModRevision)}
}

type wireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

type wireRangeResponse struct {
	Header wireHeader     `json:"header"`
	KVs    []wireKeyValue `json:"kvs"`
	More   bool           `json:"more"`
}

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type wireDelete struct {
	Key []byte `json:"key"`
}

type wireOperation struct {
	Put    *wirePut    `json:"request_put,omitempty"`
	Delete *wireDelete `json:"request_delete_range,omitempty"`
}

type wireTxn struct {
	Compare []wireCompare   `json:"compare,omitempty"`
	Success []wireOperation `json:"success,omitempty"`
}

type wireTxnResponse struct {
	Header    wireHeader `json:"header"`
	Succeeded bool       `json:"succeeded"`
}

type wireLease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type wireStream[T any] struct {
	Result T          `json:"result"`
	Error  *wireError `json:"error"`
}

type wireError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

type wireWatch struct {
	Create wireWatchCreate `json:"create_request"`
}

type wireWatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string"`
	ProgressNotify bool   `json:"progress_notify"`
}

type wireWatchResponse struct {
	Header          wireHeader  `json:"header"`
	Created         bool        `json:"created"`
	Canceled        bool        `json:"canceled"`
	CompactRevision int64       `json:"compact_revision,string"`
	Events          []wireEvent `json:"events"`
}

type wireEvent struct {
	Type string       `json:"type"`
	KV   wireKeyValue `json:"kv"`
}

// prefixEnd returns the first key after all keys with a prefix. A single zero
// byte means the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// newWireTxn converts a transaction and adds compares: the marker must not exist,
// and guard, if it is not nil, must hold.
func newWireTxn(txn Txn, guard *Compare) wireTxn {
	compares := txn.Compares
	if txn.Marker != "" {
		compares = append(compares[:len(compares):len(compares)], Compare{Key: txn.Marker})
	}
	if guard != nil {
		compares = append(compares[:len(compares):len(compares)], *guard)
	}
	var wire wireTxn
	for _, c := range compares {
		wire.Compare = append(wire.Compare, wireCompare{Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64(c.Revision)})
	}
	for _, p := range txn.Puts {
		wire.Success = append(wire.Success, wireOperation{Put: &wirePut{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}})
	}
	for _, key := range txn.Deletes {
		wire.Success = append(wire.Success, wireOperation{Delete: &wireDelete{Key: []byte(key)}})
	}
	return wire
}
