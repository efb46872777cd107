package apportioner

import (
	"cmp"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
)

// leastLoan is the least part of a request that is worth a message, in tokens: about a
// short request.
const leastLoan = 1000

// GrantTransfer gives another daemon as many of the tokens as it can, and counts them as spent
// here. So what an ended run has lent is within what it may have spent.
func (a *Apportioner) GrantTransfer(ctx context.Context, name contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.accounts[name]
	if s == nil || tokens <= 0 || !a.rounds.joined {
		return 0
	}
	held := func() contractor.Tokens { return s.granted - s.spent - s.reserved - s.needed }
	if want := min(tokens, held()); want > s.free(a.stage()) {
		a.await(ctx, s, want, held)
	}
	lent := min(tokens, s.free(a.stage()))
	if lent < min(tokens, leastLoan) {
		return 0
	}
	s.spent += lent
	if a.stage() == stageOpen && s.free(stageOpen) < tokens {
		signal(a.opening)
	}
	return lent
}

// CreditTransfer adds tokens that another daemon has counted as spent. They can be spent here in
// each stage. This daemon's next round settles them as spent the less.
func (a *Apportioner) CreditTransfer(name contractor.Account, tokens contractor.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(name).spent -= tokens
}

// TransferPeers returns the addresses of other daemons that may have tokens of an account to
// lend. The holders come first, in random order, so that one is not asked by all.
func (a *Apportioner) TransferPeers(name contractor.Account) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	ranked := rank(name, a.rounds.pool.Members)
	left := a.bounds[name] - a.rounds.pool.sums(name).Spent
	count := min(holders(a.config.AllocatedFraction*float64(left), len(ranked)), len(ranked))
	rand.Shuffle(count, func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	var lenders []netip.AddrPort
	for _, vm := range ranked {
		if vm == a.config.Name {
			continue
		}
		if address, err := netip.ParseAddrPort(a.rounds.pool.Members[vm].Address); err == nil {
			lenders = append(lenders, address)
		}
	}
	return lenders
}

// holders is the number of daemons that hold an account's balance: all, while each can
// have a share that is of use, else as many as can.
func holders(dealt float64, members int) int {
	if mostEven*dealt >= leastShare*float64(members) {
		return members
	}
	return max(int(dealt/holderShare), 1)
}

// rank orders the members for an account, the same on every daemon: the first ones hold
// the account's balance when it is too small for all. It also orders them for a VM.
func rank[T ~string](name T, members map[string]member) []string {
	weights := make(map[string]uint64, len(members))
	names := make([]string, 0, len(members))
	key := xxhash.Sum64String(string(name))
	for vm := range members {
		weights[vm] = weight(key, vm)
		names = append(names, vm)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(weights[y], weights[x]), cmp.Compare(x, y))
	})
	return names
}

// holds reports whether this daemon holds the balance of an account when it is too
// small for all: fewer members come before it in the rank than there are holders. The
// lock is held.
func (a *Apportioner) holds(name contractor.Account, p *pool) bool {
	count := holders(a.config.AllocatedFraction*float64(a.bounds[name]-p.sums(name).Spent), len(p.Members))
	if count >= len(p.Members) {
		return true
	}
	key := xxhash.Sum64String(string(name))
	own, before := weight(key, a.config.Name), 0
	for vm := range p.Members {
		if weight(key, vm) > own {
			before++
		}
	}
	return before < count
}

// weight gives a daemon its place in a rank.
func weight(key uint64, vm string) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, key)
	return xxhash.Sum64(append(b, vm...))
}
