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

// doubt is what the sender believes of the receiver when it is not alive.
type doubt struct {
	Incarnation contractor.Incarnation `cbor:"1,keyasint"`
	Sequence    uint32                 `cbor:"2,keyasint,omitempty"`
	State       State                  `cbor:"3,keyasint"`
}

// status is what the sender says of itself in each ping and each answer.
type status struct {
	Sequence uint32 `cbor:"1,keyasint,omitempty"`
	Leaving  bool   `cbor:"2,keyasint,omitempty"`
	Digest   uint64 `cbor:"3,keyasint"`
	Doubt    *doubt `cbor:"4,keyasint,omitempty"`
}

type pingRequest struct {
	Status status `cbor:"1,keyasint"`
	// Introduce asks the receiver who it is.
	Introduce bool `cbor:"2,keyasint,omitempty"`
}

type pingAnswer struct {
	Status status `cbor:"1,keyasint"`
	// Peer is the receiver, when it was asked to introduce itself.
	Peer *messenger.Peer `cbor:"2,keyasint,omitempty"`
}

type relayRequest struct {
	Record Record `cbor:"1,keyasint"`
}

type relayAnswer struct {
	Answered bool `cbor:"1,keyasint,omitempty"`
}

type syncRequest struct {
	Digests map[contractor.Zone]uint64 `cbor:"1,keyasint"`
}

// syncAnswer has the receiver's records and digests of the zones that differ.
type syncAnswer struct {
	Records []Record                   `cbor:"1,keyasint,omitempty"`
	Digests map[contractor.Zone]uint64 `cbor:"2,keyasint,omitempty"`
}

type tellRequest struct {
	Records []Record `cbor:"1,keyasint"`
}

type tellAnswer struct{}

// status returns what this daemon says of itself to a peer.
func (v *view) status(to messenger.Peer) status {
	s := status{Sequence: v.self.Sequence, Leaving: v.self.Leaving, Digest: v.digest()}
	if m, ok := v.members[to.VM]; ok && m.State != Alive {
		s.Doubt = &doubt{Incarnation: m.Peer.Incarnation, Sequence: m.Sequence, State: m.State}
	}
	return s
}

// record returns what a status says of its sender.
func (s status) record(from messenger.Peer) Record {
	return Record{Peer: from, Sequence: s.Sequence, Leaving: s.Leaving}
}

// answerDoubt contradicts a doubt about this daemon.
func (v *view) answerDoubt(d *doubt) []Record {
	if d == nil {
		return nil
	}
	r := Record{Peer: v.self.Peer, Sequence: d.Sequence, State: d.State}
	r.Peer.Incarnation = d.Incarnation
	return []Record{r}
}

// sync returns the records and digests of the zones on which a peer disagrees.
func (v *view) sync(theirs map[contractor.Zone]uint64) *syncAnswer {
	a := &syncAnswer{Digests: make(map[contractor.Zone]uint64)}
	for zone, d := range v.digests {
		if theirs[zone] != d {
			a.Digests[zone] = d
		}
	}
	for zone, d := range theirs {
		if v.digests[zone] != d {
			a.Digests[zone] = v.digests[zone]
		}
	}
	a.Records = v.records(a.Digests)
	return a
}

// records returns the records of the zones of which digest is not the own one.
func (v *view) records(digests map[contractor.Zone]uint64) []Record {
	var records []Record
	for _, m := range v.members {
		if _, ok := digests[m.Peer.Zone]; ok {
			records = append(records, m.Record)
		}
	}
	return records
}

// differing returns the digests that still differ from the own ones.
func (v *view) differing(theirs map[contractor.Zone]uint64) map[contractor.Zone]uint64 {
	differing := make(map[contractor.Zone]uint64)
	for zone, d := range theirs {
		if v.digests[zone] != d {
			differing[zone] = d
		}
	}
	return differing
}
