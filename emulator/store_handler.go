package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// The gRPC status codes that the gateway reports.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

type header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

type keyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    int64  `json:"limit,string"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
}

type txnCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type txnOperation struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	} `json:"request_put"`
	Delete *struct {
		Key []byte `json:"key"`
	} `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []txnCompare   `json:"compare"`
	Success []txnOperation `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

type streamResult[T any] struct {
	Result T `json:"result"`
}

// Handler serves the store as the JSON gateway of etcd v3.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", unary(s.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", unary(s.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", unary(s.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", unary(s.serveKeepAlive))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return mux
}

func unary[Req, Resp any](call func(context.Context, *Req) (*Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Req
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
			return
		}
		response, err := call(r.Context(), &request)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

// writeStoreError sends an error of the store. An unknown outcome closes the
// connection without a response.
func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, persister.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, persister.ErrThrottled):
		writeError(w, http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests")
	case errors.Is(err, persister.ErrInvalid):
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
	}
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{message, code, message})
}

func (s *Store) serveRange(ctx context.Context, request *rangeRequest) (*rangeResponse, error) {
	if err := s.begin(ctx, countRead, s.reads); err != nil {
		return nil, err
	}
	page := s.read(string(request.Key), keyRange(request.Key, request.RangeEnd), int(request.Limit))
	response := &rangeResponse{Header: header{int64(page.Revision)}, More: page.More}
	for _, e := range page.Entries {
		response.KVs = append(response.KVs, s.keyValue(e))
	}
	return response, s.finish(ctx)
}

func (s *Store) keyValue(e persister.Entry) keyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.items[e.Key]
	return keyValue{
		Key:            []byte(e.Key),
		Value:          e.Value,
		ModRevision:    int64(e.Revision),
		CreateRevision: int64(found.created),
		Lease:          int64(found.lease),
	}
}

// keyRange returns the predicate for the keys from key up to end, as etcd defines
// it: an empty end selects key alone, and a zero byte all keys from key on.
func keyRange(key, end []byte) func(string) bool {
	switch {
	case len(end) == 0:
		return func(k string) bool { return k == string(key) }
	case len(end) == 1 && end[0] == 0:
		return func(k string) bool { return k >= string(key) }
	}
	return func(k string) bool { return k >= string(key) && k < string(end) }
}

func (s *Store) serveTxn(ctx context.Context, request *txnRequest) (*txnResponse, error) {
	var txn persister.Txn
	for _, c := range request.Compare {
		if c.Target != "MOD" || (c.Result != "EQUAL" && c.Result != "") {
			return nil, persister.ErrInvalid
		}
		txn.Compares = append(txn.Compares, persister.Compare{Key: string(c.Key), Revision: contractor.Revision(c.ModRevision)})
	}
	for _, o := range request.Success {
		if o.Put != nil {
			txn.Puts = append(txn.Puts, persister.Put{Key: string(o.Put.Key), Value: o.Put.Value, Lease: persister.LeaseID(o.Put.Lease)})
		}
		if o.Delete != nil {
			txn.Deletes = append(txn.Deletes, string(o.Delete.Key))
		}
	}
	revision, err := s.Commit(ctx, txn)
	if errors.Is(err, persister.ErrConflict) {
		return &txnResponse{Header: header{int64(s.Revision())}}, nil
	}
	if err != nil {
		return nil, err
	}
	return &txnResponse{Header: header{int64(revision)}, Succeeded: true}, nil
}

func (s *Store) serveGrant(ctx context.Context, request *leaseRequest) (*leaseResponse, error) {
	id, err := s.GrantLease(ctx, time.Duration(request.TTL)*time.Second)
	if err != nil {
		return nil, err
	}
	return &leaseResponse{Header: header{int64(s.Revision())}, ID: int64(id), TTL: request.TTL}, nil
}

func (s *Store) serveKeepAlive(ctx context.Context, request *leaseRequest) (*streamResult[leaseResponse], error) {
	remaining, err := s.KeepAlive(ctx, persister.LeaseID(request.ID))
	if err != nil {
		return nil, err
	}
	response := leaseResponse{Header: header{int64(s.Revision())}, ID: request.ID, TTL: int64(remaining / time.Second)}
	return &streamResult[leaseResponse]{response}, nil
}
