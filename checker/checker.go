// Package checker holds a specification of the budget protocol and explores it.
//
// The specification is a small state machine: one budget, two availability
// zones, three daemons in the first zone and one in the second, and three
// requests. A State is a comparable value, so a breadth-first search can visit
// every state that the steps reach, in every order: messages may be lost,
// delayed or repeated, daemons may stop for good or pause between any two
// steps, and the answer of the store may be lost.
//
// After each step Invariant must hold: nobody spends beyond what is prepaid,
// the ledger never promises more than the balance, and each request is billed
// at most once. A Fault leaves one rule of the protocol out; the search must
// then find a violation, which shows that the rule is needed and that the
// search would notice its loss.
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

// Fault names a rule that a run of the specification leaves out.
type Fault uint8

const (
	// FaultNone keeps every rule.
	FaultNone Fault = iota
	// FaultNoDeadline lets a keeper reserve after the term of its grants.
	FaultNoDeadline
	// FaultCreditFirst lets the receiver of a transfer add before the sender subtracts.
	FaultCreditFirst
	// FaultNoDedup bills a line whose request key has been billed before.
	FaultNoDedup
	// FaultNoSeal lets a new keeper use the old grant without asking the entries.
	FaultNoSeal
	// FaultNoWitness lets a keeper reserve for its own entry without a witness.
	FaultNoWitness
	// FaultNoEpoch lets an entry accept a reservation of a replaced keeper.
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

// Config bounds an exploration.
type Config struct {
	// Prepaid is the balance. Each request reserves two tokens and uses one or two.
	Prepaid int8
	// SameKey makes the third request a retry of the first through the other zone.
	SameKey bool
	// Crashes is the number of daemons that may stop for good.
	Crashes int8
	Fault   Fault
	// MaxStates ends the search early. Zero means no bound.
	MaxStates int
}

// Step is one step of a run.
type Step struct {
	Name  string
	State State
}

// Violation is a run that ends in a state in which an invariant does not hold.
type Violation struct {
	Invariant string
	Steps     []Step
}

// Error lists the steps of the run.
func (v *Violation) Error() string {
	names := make([]string, len(v.Steps))
	for i, s := range v.Steps {
		names[i] = s.Name
	}
	return fmt.Sprintf("%s after: %s", v.Invariant, strings.Join(names, ", "))
}

// Report is the result of an exploration.
type Report struct {
	// States is the number of different states visited.
	States int
	// Complete is true when every reachable state was visited.
	Complete  bool
	Violation *Violation
}

type origin struct {
	parent State
	step   string
}

// Explore visits the reachable states breadth first until an invariant breaks,
// the bound is met or nothing new is found.
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
