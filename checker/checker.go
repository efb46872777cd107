// Package checker is a model checker for the budget protocol: it holds a
// specification of the protocol and explores its states exhaustively.
//
// The protocol spends a prepaid budget from several availability zones at once. A
// ledger in the store grants part of the balance to each zone. One daemon per zone,
// the keeper, reserves tokens from that grant for each request, and the entry daemon
// (the daemon that received the request) dispatches it and settles what it used. The
// keeper flushes the settled lines to the ledger, which bills them. A daemon that
// takes over as keeper raises the zone's epoch and seals the old one: it collects the
// reservations that the other daemons of the zone know, and they reject those of
// earlier epochs from then on. A witness is a daemon that keeps a copy of a
// reservation that only the keeper would know otherwise. A grant has a term: the keeper
// must not reserve after it, and the ledger may reclaim the grant. Tokens that a lost
// record may have spent are unaccounted: they are set aside until an operator releases
// them.
//
// The specification is a small state machine: one budget, two availability zones,
// three daemons in the first zone and one in the second, and three requests. A State
// is a comparable value, which lets a breadth-first search visit every state that the
// steps reach in any order: messages may be lost, delayed or repeated, daemons may
// crash or pause between any two steps, and a response of the store may be lost.
//
// Invariant must hold after each step: no more is spent than is prepaid, the ledger
// never promises more than the balance, and each request is billed at most once. A
// Fault disables one rule of the protocol; the search must then find a violation. This
// shows that the rule is needed and that the search detects its absence.
//
//	report := checker.Explore(checker.Config{Prepaid: 3})
//	if report.Violation != nil {
//		fmt.Println(report.Violation)
//	}
package checker

import (
	"fmt"
	"strings"
)

// Fault is a rule of the protocol that an exploration disables.
type Fault uint8

const (
	// FaultNone disables no rule.
	FaultNone Fault = iota
	// FaultNoDeadline lets a keeper reserve after the term of its grants has expired.
	FaultNoDeadline
	// FaultCreditFirst credits a transfer to the receiver before the sender is debited.
	FaultCreditFirst
	// FaultNoDedup bills a line although its request key has already been billed.
	FaultNoDedup
	// FaultNoSeal lets a new keeper use the former keeper's grant without collecting
	// the reservations that other daemons know.
	FaultNoSeal
	// FaultNoWitness lets a keeper reserve without a witness for requests that it has
	// received itself.
	FaultNoWitness
	// FaultNoEpoch lets an entry daemon accept a reservation of a replaced keeper.
	FaultNoEpoch
)

// String returns the fault's name.
func (f Fault) String() string {
	names := [...]string{"none", "no deadline", "credit first", "no dedup", "no seal", "no witness", "no epoch"}
	if int(f) < len(names) {
		return names[f]
	}
	return fmt.Sprintf("fault(%d)", uint8(f))
}

// Config sets the initial state and the limits of an exploration.
type Config struct {
	// Prepaid is the initial balance in tokens. Each request reserves two tokens and
	// uses one or two.
	Prepaid int8
	// SameKey makes the third request a retry of the first through the other zone.
	SameKey bool
	// Crashes is the maximum number of daemons that crash. They do not restart.
	Crashes int8
	Fault   Fault
	// MaxStates is the number of states after which the search ends. Zero is no limit.
	MaxStates int
}

// Step is one step of the protocol and the state after it.
type Step struct {
	Name  string
	State State
}

// Violation is a sequence of steps to a state in which an invariant does not hold.
type Violation struct {
	Invariant string
	Steps     []Step
}

// Error names the invariant and the steps.
func (v *Violation) Error() string {
	names := make([]string, len(v.Steps))
	for i, s := range v.Steps {
		names[i] = s.Name
	}
	return fmt.Sprintf("%s after: %s", v.Invariant, strings.Join(names, ", "))
}

// Report is the result of an exploration.
type Report struct {
	// States is the number of distinct states visited.
	States int
	// Complete is true when every reachable state was visited.
	Complete  bool
	Violation *Violation
}

type origin struct {
	parent State
	step   string
}

// Explore visits the reachable states breadth first until an invariant is violated,
// MaxStates is reached or no new state is found.
func Explore(c Config) Report {
	first := initial(c)
	seen := map[State]origin{first: {}}
	queue := []State{first}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		for _, next := range successors(c, current) {
			if _, visited := seen[next.State]; visited {
				continue
			}
			seen[next.State] = origin{parent: current, step: next.Name}
			if violated := Invariant(next.State); violated != "" {
				return Report{States: len(seen), Violation: trace(seen, first, next.State, violated)}
			}
			queue = append(queue, next.State)
		}
		if c.MaxStates > 0 && len(seen) >= c.MaxStates {
			return Report{States: len(seen)}
		}
	}
	return Report{States: len(seen), Complete: true}
}

func trace(seen map[State]origin, first, last State, invariant string) *Violation {
	var steps []Step
	for s := last; s != first; s = seen[s].parent {
		steps = append(steps, Step{Name: seen[s].step, State: s})
	}
	for i, j := 0, len(steps)-1; i < j; i, j = i+1, j-1 {
		steps[i], steps[j] = steps[j], steps[i]
	}
	return &Violation{Invariant: invariant, Steps: steps}
}
