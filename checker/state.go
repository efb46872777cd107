package checker

const (
	zones    = 2
	daemons  = 4
	requests = 3
	keys     = 3
	maxCost  = 2 // tokens that a request reserves
	absent   = -1
)

// zoneOf gives the zone of each daemon: three in the first, one in the second.
var zoneOf = [daemons]int8{0, 0, 0, 1}

// entryDaemonOf gives the entry daemon of each request: one beside the keeper, one on
// the first keeper itself, and one in the other zone.
var entryDaemonOf = [requests]int8{2, 0, 3}

// Phase is how far a request has come.
type Phase int8

// The phases of a request at its entry.
const (
	PhaseNew Phase = iota
	PhaseReserved
	PhaseDispatched
	PhaseDone
	PhaseSettled
	PhaseRefused
)

// Section is one zone's part of the ledger. Held is the grant of the previous
// epoch until the seal ends.
type Section struct {
	Epoch, KeeperDaemon, Grant, HeldGrant int8
}

// Keeper is what a daemon knows as keeper of its zone. Epoch zero is no keeper.
type Keeper struct {
	Epoch     int8
	Granted   int8
	Reserved  [requests]int8
	Unflushed [requests]int8
	// Sealed has a bit for each daemon whose answer to the seal has come.
	Sealed int8
	// Sealing is true while the old grant may not be used yet.
	Sealing bool
	// Inherited has a bit for each request that the keeper learned from the seal.
	Inherited int8
	// Settled has a bit for each request whose line has come to the keeper.
	Settled int8
	// Late has a bit for each line that the keeper's grant does not cover.
	Late int8
	// TermExpired is true once the term of the grants has passed on the keeper's clock.
	TermExpired bool
	// TransferSent is the amount of the transfer that the keeper has sent.
	TransferSent int8
	// TransferReceived is true once the keeper has added the transfer.
	TransferReceived bool
}

// Daemon is one daemon in all its roles.
type Daemon struct {
	Dead bool
	// MinEpoch is the lowest epoch of its zone whose reservations it accepts.
	MinEpoch int8
	Keeper   Keeper
	// Witnessed has the reservations recorded for the keeper's own entry.
	Witnessed [requests]int8
	// WitnessedTransfer is the amount of the transfer recorded before it was sent.
	WitnessedTransfer int8
}

// Request is one request at its entry.
type Request struct {
	Phase Phase
	Epoch int8
	Used  int8
}

// Offer is a reservation on its way from the keeper to the entry.
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
	// Transfer is the amount on its way from the first zone to the second.
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

// free returns what a keeper may still reserve. Until the seal ends, what it
// has learned from the seal belongs to the held grant.
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

// recorded returns the part of the held grant that the keeper has records of.
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

// balance returns what the ledger has neither settled, granted nor set aside.
func (s *State) balance() int8 {
	remaining := s.Prepaid - s.Settled - s.Unaccounted
	for _, section := range s.Sections {
		remaining -= section.Grant + section.HeldGrant
	}
	return remaining
}

// spent returns the tokens consumed, counting each request key once.
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

// Invariant returns the name of the first promise that a state breaks, or "".
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
