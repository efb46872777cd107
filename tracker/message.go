package tracker

import (
	"laburnumline/contractor"
	"laburnumline/messenger"
)

// Methods that a tracker handles.
const (
	// MethodPing checks whether a daemon is alive.
	MethodPing messenger.Method = 200
	// MethodIndirectPing requests that a daemon pings another one.
	MethodIndirectPing messenger.Method = 201
	// MethodSync fetches the records of the zones whose digests differ.
	MethodSync messenger.Method = 202
	// MethodPush sends records.
	MethodPush messenger.Method = 203
)

// suspicion is part of a status if the sender does not consider the receiver alive.
type suspicion struct {
	Incarnation contractor.Incarnation `cbor:"1,keyasint"`
	Sequence    uint32                 `cbor:"2,keyasint,omitempty"`
	State       State                  `cbor:"3,keyasint"`
}

// status is what the sender reports of itself in each ping and each response.
type status struct {
	Sequence  uint32     `cbor:"1,keyasint,omitempty"`
	Leaving   bool       `cbor:"2,keyasint,omitempty"`
	Digest    uint64     `cbor:"3,keyasint"`
	Suspicion *suspicion `cbor:"4,keyasint,omitempty"`
}

type pingRequest struct {
	Status status `cbor:"1,keyasint"`
	// WantPeer requests the identity of the receiver.
	WantPeer bool `cbor:"2,keyasint,omitempty"`
}

type pingResponse struct {
	Status status `cbor:"1,keyasint"`
	// Peer is the identity of the receiver, if WantPeer was set.
	Peer *messenger.Peer `cbor:"2,keyasint,omitempty"`
}

type indirectPingRequest struct {
	Target Record `cbor:"1,keyasint"`
}

type indirectPingResponse struct {
	Responded bool `cbor:"1,keyasint,omitempty"`
}

type syncRequest struct {
	Digests map[contractor.Zone]uint64 `cbor:"1,keyasint"`
}

// syncResponse holds the receiver's records and digests of the zones that differ.
type syncResponse struct {
	Records []Record                   `cbor:"1,keyasint,omitempty"`
	Digests map[contractor.Zone]uint64 `cbor:"2,keyasint,omitempty"`
}

type pushRequest struct {
	Records []Record `cbor:"1,keyasint"`
}

type pushResponse struct{}

// status returns the status that this daemon reports to a peer.
func (v *view) status(to messenger.Peer) status {
	s := status{Sequence: v.self.Sequence, Leaving: v.self.Leaving, Digest: v.digest()}
	if m, ok := v.members[to.VM]; ok && m.State != Alive {
		s.Suspicion = &suspicion{Incarnation: m.Peer.Incarnation, Sequence: m.Sequence, State: m.State}
	}
	return s
}

// record returns the record of the sender of a status.
func (s status) record(from messenger.Peer) Record {
	return Record{Peer: from, Sequence: s.Sequence, Leaving: s.Leaving}
}

// suspicionRecords returns the record of a suspicion of this daemon. Merging it
// makes this daemon refute the suspicion.
func (v *view) suspicionRecords(s *suspicion) []Record {
	if s == nil {
		return nil
	}
	r := Record{Peer: v.self.Peer, Sequence: s.Sequence, State: s.State}
	r.Peer.Incarnation = s.Incarnation
	return []Record{r}
}

// syncResponse returns the records and digests of the zones whose digests differ
// from those of a peer.
func (v *view) syncResponse(theirs map[contractor.Zone]uint64) *syncResponse {
	response := &syncResponse{Digests: make(map[contractor.Zone]uint64)}
	for zone, d := range v.digests {
		if theirs[zone] != d {
			response.Digests[zone] = d
		}
	}
	for zone, d := range theirs {
		if v.digests[zone] != d {
			response.Digests[zone] = v.digests[zone]
		}
	}
	response.Records = v.recordsOf(response.Digests)
	return response
}

// recordsOf returns the records of the zones that have an entry in digests.
func (v *view) recordsOf(digests map[contractor.Zone]uint64) []Record {
	var records []Record
	for _, m := range v.members {
		if _, ok := digests[m.Peer.Zone]; ok {
			records = append(records, m.Record)
		}
	}
	return records
}

// differingDigests returns those of a peer's digests that differ from the own ones.
func (v *view) differingDigests(theirs map[contractor.Zone]uint64) map[contractor.Zone]uint64 {
	differing := make(map[contractor.Zone]uint64)
	for zone, d := range theirs {
		if v.digests[zone] != d {
			differing[zone] = d
		}
	}
	return differing
}
