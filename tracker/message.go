package tracker

import (
	"laburnumline/contractor"
	"laburnumline/messenger"
)

// Methods of the tracker.
const (
	// MethodPing asks a daemon whether it is alive.
	MethodPing messenger.Method = 200
	// MethodIndirectPing asks a daemon to ping another one.
	MethodIndirectPing messenger.Method = 201
	// MethodSync asks for the records of zones on which two daemons disagree.
	MethodSync messenger.Method = 202
	// MethodPush passes records on.
	MethodPush messenger.Method = 203
)

// suspicion is what the sender believes of the receiver when it is not alive.
type suspicion struct {
	Incarnation contractor.Incarnation `cbor:"1,keyasint"`
	Sequence    uint32                 `cbor:"2,keyasint,omitempty"`
	State       State                  `cbor:"3,keyasint"`
}

// status is what the sender says of itself in each ping and each answer.
type status struct {
	Sequence  uint32     `cbor:"1,keyasint,omitempty"`
	Leaving   bool       `cbor:"2,keyasint,omitempty"`
	Digest    uint64     `cbor:"3,keyasint"`
	Suspicion *suspicion `cbor:"4,keyasint,omitempty"`
}

type pingRequest struct {
	Status status `cbor:"1,keyasint"`
	// WantPeer asks the receiver who it is.
	WantPeer bool `cbor:"2,keyasint,omitempty"`
}

type pingResponse struct {
	Status status `cbor:"1,keyasint"`
	// Peer is the receiver, when it was asked to introduce itself.
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

// syncResponse has the receiver's records and digests of the zones that differ.
type syncResponse struct {
	Records []Record                   `cbor:"1,keyasint,omitempty"`
	Digests map[contractor.Zone]uint64 `cbor:"2,keyasint,omitempty"`
}

type pushRequest struct {
	Records []Record `cbor:"1,keyasint"`
}

type pushResponse struct{}

// status returns what this daemon says of itself to a peer.
func (v *view) status(to messenger.Peer) status {
	s := status{Sequence: v.self.Sequence, Leaving: v.self.Leaving, Digest: v.digest()}
	if m, ok := v.members[to.VM]; ok && m.State != Alive {
		s.Suspicion = &suspicion{Incarnation: m.Peer.Incarnation, Sequence: m.Sequence, State: m.State}
	}
	return s
}

// record returns what a status says of its sender.
func (s status) record(from messenger.Peer) Record {
	return Record{Peer: from, Sequence: s.Sequence, Leaving: s.Leaving}
}

// suspicionRecords contradicts a doubt about this daemon.
func (v *view) suspicionRecords(s *suspicion) []Record {
	if s == nil {
		return nil
	}
	r := Record{Peer: v.self.Peer, Sequence: s.Sequence, State: s.State}
	r.Peer.Incarnation = s.Incarnation
	return []Record{r}
}

// syncResponse returns the records and digests of the zones on which a peer disagrees.
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

// recordsOf returns the recordsOf of the zones of which digest is not the own one.
func (v *view) recordsOf(digests map[contractor.Zone]uint64) []Record {
	var records []Record
	for _, m := range v.members {
		if _, ok := digests[m.Peer.Zone]; ok {
			records = append(records, m.Record)
		}
	}
	return records
}

// differingDigests returns the digests that still differ from the own ones.
func (v *view) differingDigests(theirs map[contractor.Zone]uint64) map[contractor.Zone]uint64 {
	differing := make(map[contractor.Zone]uint64)
	for zone, d := range theirs {
		if v.digests[zone] != d {
			differing[zone] = d
		}
	}
	return differing
}
