package recorder

import (
	"fmt"
	"maps"
)

// Code is the number of an event. docs/EVENTS.md describes all events.
type Code int

// codeNames is the catalogue: the names of all declared codes.
var codeNames = make(map[Code]string)

// eventNames holds the names of the events of one area.
type eventNames map[Code]string

// declare adds the events of one area to the catalogue. It panics if a number or a
// name is already declared.
func declare(names eventNames) eventNames {
	for code, name := range names {
		if taken, ok := codeNames[code]; ok {
			panic(fmt.Sprintf("event %d is declared as %q and as %q", code, taken, name))
		}
		for other, taken := range codeNames {
			if taken == name {
				panic(fmt.Sprintf("event name %q is declared for %d and for %d", name, other, code))
			}
		}
		codeNames[code] = name
	}
	return names
}

// String returns the event's name.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event_%d", int(c))
}

// Codes returns a copy of the catalogue.
func Codes() map[Code]string { return maps.Clone(codeNames) }
