package checker

const (
	zones    = 2
	daemons  = 4
	requests = 3
	keys     = 3
	maxCost  = 2 // tokens reserved for a request
	absent   = -1
)

// zoneOf is the zone of each daemon: three in the first, one in the second.
var zoneOf = [daemons]int8{0, 0, 0, 1}

// entryDaemonOf is the entry daemon of each request: one that is not the keeper, the
// first keeper itself, and the daemon of the other zone.
var entryDaemonOf = [requests]int8{2, 0, 3}

// Phase is the progress of a request.
type Phase int8

// The phases of a request at its entry daemon.
const (
	PhaseNew Phase = iota
	PhaseReserved
	PhaseDispatched
	PhaseDone
	PhaseSettled
	PhaseRefused
)

// Section is one zone's part of the ledger. HeldGrant is the grant of the previous
// epoch, which nobody may spend until the seal ends.
type Section struct {
	Epoch, KeeperDaemon, Grant, HeldGrant int8
}

// Keeper is the state of a daemon as the keeper of its zone. Epoch zero means that the
// daemon is not a keeper.
type Keeper struct {
	Epoch     int8
	Granted   int8
	Reserved  [requests]int8
	Unflushed [requests]int8
	// Sealed has a bit for each daemon that has responded to the seal.
	Sealed int8
	// Sealing is true from the takeover until the held grant may be used.
	Sealing bool
	// Inherited has a bit for each request whose reservation comes from the seal.
	Inherited int8
	// Settled has a bit for each request whose line the keeper has received.
	Settled int8
	// Late has a bit for each unflushed line that the keeper's grant does not cover.
	Late int8
	// TermExpired is true once the term of the grants has expired on the keeper's clock.
	TermExpired bool
	// TransferSent is the amount of the transfer that the keeper has sent.
	TransferSent int8
	// TransferReceived is true once the keeper has credited the transfer to its grant.
	TransferReceived bool
}

// Daemon is one daemon in its roles as keeper, witness and entry daemon.
type Daemon struct {
	Dead bool
	// MinEpoch is the lowest epoch of its zone whose reservations the daemon accepts.
	MinEpoch int8
	Keeper   Keeper
	// Witnessed holds copies of reservations for requests that the keeper received
	// itself.
	Witnessed [requests]int8
	// WitnessedTransfer is the amount of a transfer, recorded before it was sent.
	WitnessedTransfer int8
}

// Request is one request at its entry daemon.
type Request struct {
	Phase Phase
	Epoch int8
	Used  int8
}

// Offer is a reservation message from the keeper to the entry daemon. Present stays
// true after delivery.
type Offer struct {
	Present bool
	Epoch   int8
}

// State is one state of the specification.
type State struct {
	Prepaid, Settled, Unaccounted int8
	Sections                      [zones]Section
	Billed                        [keys]int8
	BilledTwice                   bool
	TransferApplied               bool
	UnaccountedReleased           bool
	Daemons                       [daemons]Daemon
	Requests                      [requests]Request
	Offers                        [requests]Offer
	// Transfer is the amount that the first zone has sent to the second.
	Transfer        int8
	TransferEpoch   int8
	TransferStarted bool
	Crashes         int8
	SameKey         bool
}

func initial(c Config) State {
	s := State{Prepaid: c.Prepaid, Crashes: c.Crashes, SameKey: c.SameKey}
	for k := range s.Billed {
		s.Billed[k] = absent
	}
	s.Sections[0] = Section{Epoch: 1, KeeperDaemon: 0}
	s.Sections[1] = Section{Epoch: 1, KeeperDaemon: 3}
	for d := range s.Daemons {
		s.Daemons[d].MinEpoch = 1
		s.Daemons[d].Keeper = emptyKeeper()
		s.Daemons[d].Witnessed = [requests]int8{absent, absent, absent}
	}
	s.Daemons[0].Keeper.Epoch = 1
	s.Daemons[3].Keeper.Epoch = 1
	return s
}

func emptyKeeper() Keeper {
	return Keeper{Unflushed: [requests]int8{absent, absent, absent}}
}

// key returns the request key under which a request is billed.
func (s *State) key(request int) int {
	if s.SameKey && request == 2 {
		return 0
	}
	return request
}

// free returns the tokens that a keeper may still reserve. Inherited reservations and
// late lines do not count, because they belong to the held grant until the seal ends.
func (k *Keeper) free() int8 {
	free := k.Granted
	for r := range k.Reserved {
		if k.Inherited&(1<<r) == 0 {
			free -= k.Reserved[r]
		}
		if k.Unflushed[r] != absent && k.Late&(1<<r) == 0 {
			free -= k.Unflushed[r]
		}
	}
	return free
}

// recorded returns the part of the held grant for which the keeper has reservations or
// lines.
func (k *Keeper) recorded() int8 {
	var sum int8
	for r := range k.Reserved {
		if k.Inherited&(1<<r) != 0 {
			sum += k.Reserved[r]
		}
		if k.Unflushed[r] != absent && k.Late&(1<<r) != 0 {
			sum += k.Unflushed[r]
		}
	}
	return sum
}

// balance returns the prepaid tokens that are neither settled, nor granted, nor
// unaccounted.
func (s *State) balance() int8 {
	remaining := s.Prepaid - s.Settled - s.Unaccounted
	for _, section := range s.Sections {
		remaining -= section.Grant + section.HeldGrant
	}
	return remaining
}

// spent returns the tokens used by dispatched requests, once for each request key.
func (s *State) spent() int8 {
	var byKey [keys]int8
	for r, q := range s.Requests {
		if q.Phase == PhaseDispatched || q.Phase == PhaseDone || q.Phase == PhaseSettled {
			k := s.key(r)
			byKey[k] = max(byKey[k], q.Used)
		}
	}
	var sum int8
	for _, used := range byKey {
		sum += used
	}
	return sum
}

// Invariant returns the first invariant that a state violates, or "".
func Invariant(s State) string {
	switch {
	case s.spent() > s.Prepaid:
		return "spent more than prepaid"
	case s.balance() < 0:
		return "ledger promises more than prepaid"
	case s.BilledTwice:
		return "a request is billed twice"
	case s.Unaccounted < 0:
		return "more taken from unaccounted than was set aside"
	case s.Sections[0].HeldGrant < 0 || s.Sections[0].Grant < 0 || s.Sections[1].Grant < 0:
		return "a grant is negative"
	case s.Settled > s.Prepaid:
		return "settled more than prepaid"
	}
	return ""
}
