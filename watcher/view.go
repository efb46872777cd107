package watcher

import (
	"cmp"
	"slices"
	"sort"
	"sync"

	"laburnumline/contractor"
)

// Section is a part of the configuration whose applied revision is tracked on its
// own.
type Section uint8

const (
	// Contracts are the contracts of client accounts.
	Contracts Section = iota
	// Upstreams are the operators' announcements of upstreams.
	Upstreams
	// Quarantine holds the quarantined requests, which crash upstreams.
	Quarantine
	sectionCount
)

var keyPrefixes = [sectionCount]string{"contract/", "upstream/", "quarantine/"}

// String returns the prefix of the section's keys without the slash.
func (s Section) String() string { return keyPrefixes[s][:len(keyPrefixes[s])-1] }

// carriesValues reports whether changes of the section are sent with their values.
func (s Section) carriesValues() bool { return s != Contracts }

// maxLogChanges limits the past changes of a section that a daemon keeps for
// polls of other daemons.
const maxLogChanges = 2048

// Change is one changed key of a section.
type Change struct {
	Revision contractor.Revision `cbor:"1,keyasint"`
	Name     string              `cbor:"2,keyasint"`
	Deleted  bool                `cbor:"3,keyasint,omitempty"`
	// Value is empty for contracts.
	Value []byte `cbor:"4,keyasint,omitempty"`
}

// Update holds all changes of a section after the receiver's revision up to To.
// With Reset it replaces the section, and Changes holds all of its values (none
// for contracts).
type Update struct {
	Section Section             `cbor:"1,keyasint"`
	To      contractor.Revision `cbor:"2,keyasint"`
	Reset   bool                `cbor:"3,keyasint,omitempty"`
	Changes []Change            `cbor:"4,keyasint,omitempty"`
}

// Revisions holds the applied revision of each section.
type Revisions [sectionCount]contractor.Revision

// view is a daemon's state of all sections.
type view struct {
	mu       sync.Mutex
	sections [sectionCount]section
	// changed is closed and replaced after each change.
	changed chan struct{}
}

type section struct {
	// applied is the revision up to which all changes are applied.
	applied contractor.Revision
	// logStart is the revision after which the log holds every change.
	logStart contractor.Revision
	log      []Change
	// current holds the last change of each name that is not deleted. It is empty
	// when changes carry no values.
	current map[string]Change
}

func (v *view) init() {
	v.changed = make(chan struct{})
	for i := range v.sections {
		v.sections[i].current = make(map[string]Change)
	}
}

// applied returns the applied revision of each section.
func (v *view) applied() Revisions {
	v.mu.Lock()
	defer v.mu.Unlock()
	var r Revisions
	for i := range v.sections {
		r[i] = v.sections[i].applied
	}
	return r
}

// apply applies an update if its revision is later than the applied one. It
// returns the changes that were new, and whether the update was applied.
func (v *view) apply(u Update) ([]Change, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := &v.sections[u.Section]
	if u.To <= s.applied {
		return nil, false
	}
	if u.Reset {
		s.reset(u)
	}
	added := s.add(u)
	s.applied = u.To
	close(v.changed)
	v.changed = make(chan struct{})
	return added, true
}

func (s *section) reset(u Update) {
	s.log = nil
	s.logStart = u.To
	clear(s.current)
	if u.Section.carriesValues() {
		for _, c := range u.Changes {
			s.current[c.Name] = c
		}
	}
}

func (s *section) add(u Update) []Change {
	if u.Reset {
		return u.Changes
	}
	var added []Change
	for _, c := range u.Changes {
		if c.Revision <= s.applied {
			continue
		}
		added = append(added, c)
		if !u.Section.carriesValues() {
			continue
		}
		if c.Deleted {
			delete(s.current, c.Name)
		} else {
			s.current[c.Name] = c
		}
	}
	s.log = append(s.log, added...)
	if len(s.log) > maxLogChanges {
		s.logStart = s.log[len(s.log)/2-1].Revision
		s.log = slices.Clone(s.log[len(s.log)/2:])
		s.log = slices.DeleteFunc(s.log, func(c Change) bool { return c.Revision <= s.logStart })
	}
	return added
}

// updatesSince returns the updates after the given revisions, and a channel that
// is closed at the next change.
func (v *view) updatesSince(after Revisions) ([]Update, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var updates []Update
	for i := range v.sections {
		if u, ok := v.sections[i].updateSince(Section(i), after[i]); ok {
			updates = append(updates, u)
		}
	}
	return updates, v.changed
}

func (s *section) updateSince(name Section, after contractor.Revision) (Update, bool) {
	if s.applied <= after {
		return Update{}, false
	}
	if after < s.logStart {
		return Update{Section: name, To: s.applied, Reset: true, Changes: s.currentChanges()}, true
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after })
	return Update{Section: name, To: s.applied, Changes: slices.Clone(s.log[first:])}, true
}

// currentChanges returns the last change of each name in the order of names.
func (s *section) currentChanges() []Change {
	all := make([]Change, 0, len(s.current))
	for _, c := range s.current {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// currentChanges returns the last change of each name of a section with values.
func (v *view) currentChanges(name Section) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sections[name].currentChanges()
}
