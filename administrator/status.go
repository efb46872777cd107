package administrator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"laburnumline/contractor"
	"laburnumline/watcher"
)

// maxNamedDaemons is the number of waiting daemons that ChangeStatus.Text names.
const maxNamedDaemons = 5

// DaemonStatus holds the revisions that one daemon has applied.
type DaemonStatus struct {
	VM          contractor.VM          `json:"vm"`
	Zone        contractor.Zone        `json:"zone"`
	Incarnation contractor.Incarnation `json:"incarnation"`
	// Reached is false if the daemon did not respond.
	Reached bool `json:"reached"`
	// Contracts and Upstreams are the revisions up to which all changes of the section
	// are in force.
	Contracts contractor.Revision `json:"contracts,omitempty"`
	Upstreams contractor.Revision `json:"upstreams,omitempty"`
	// ContactAge is the time since the daemon's configuration was last known to be
	// current. It is empty if the daemon has had no contact with the store or a relay.
	ContactAge string `json:"contact_age,omitempty"`
}

// FleetStatus holds the revisions that all daemons have applied.
type FleetStatus struct {
	Daemons []DaemonStatus `json:"daemons"`
	Reached int            `json:"reached"`
	Total   int            `json:"total"`
}

// ChangeStatus shows on which daemons one change is in force.
type ChangeStatus struct {
	Section  string              `json:"section"`
	Revision contractor.Revision `json:"revision"`
	InForce  int                 `json:"in_force"`
	Total    int                 `json:"total"`
	// Waiting lists the daemons that have not applied the change or did not respond.
	Waiting []DaemonStatus `json:"waiting,omitempty"`
	// Text is a summary for people.
	Text string `json:"text"`
}

func daemonStatus(d *watcher.DaemonRevision) DaemonStatus {
	s := DaemonStatus{
		VM:          d.Peer.VM,
		Zone:        d.Peer.Zone,
		Incarnation: d.Peer.Incarnation,
		Reached:     d.Reached,
		Contracts:   d.Applied[watcher.Contracts],
		Upstreams:   d.Applied[watcher.Upstreams],
	}
	if d.Reached && d.Age >= 0 {
		s.ContactAge = d.Age.Truncate(time.Millisecond).String()
	}
	return s
}

func (a *Administrator) fleetStatus(ctx context.Context, _ *request) (response, error) {
	var s FleetStatus
	for _, d := range a.config.Watcher.DaemonRevisions(ctx) {
		s.Daemons = append(s.Daemons, daemonStatus(&d))
		s.Total++
		if d.Reached {
			s.Reached++
		}
	}
	return response{body: s}, nil
}

func (a *Administrator) changeStatus(ctx context.Context, r *request) (response, error) {
	sections := map[string]watcher.Section{contractSection: watcher.Contracts, upstreamSection: watcher.Upstreams}
	section, ok := sections[r.parameter("section")]
	if !ok {
		return response{}, contractor.FieldErrors{{Field: "section", Value: r.parameter("section"), Allowed: "contract or upstream"}}
	}
	revision, err := strconv.ParseInt(r.parameter("revision"), 10, 64)
	if err != nil || revision <= 0 {
		return response{}, contractor.FieldErrors{{Field: "revision", Value: r.parameter("revision"), Allowed: "a revision greater than 0"}}
	}
	daemons := a.config.Watcher.DaemonRevisions(ctx)
	return response{body: newChangeStatus(section, contractor.Revision(revision), daemons)}, nil
}

// newChangeStatus derives the status of a change from the revisions of the daemons.
func newChangeStatus(section watcher.Section, revision contractor.Revision, daemons []watcher.DaemonRevision) ChangeStatus {
	s := ChangeStatus{Section: section.String(), Revision: revision, Total: len(daemons)}
	var waiting []string
	for i := range daemons {
		d := &daemons[i]
		if d.Reached && d.Applied[section] >= revision {
			s.InForce++
			continue
		}
		s.Waiting = append(s.Waiting, daemonStatus(d))
		reason := fmt.Sprintf("at revision %d", d.Applied[section])
		if !d.Reached {
			reason = "no answer"
		}
		waiting = append(waiting, fmt.Sprintf("%s (%s)", d.Peer.VM, reason))
	}
	s.Text = fmt.Sprintf("in force on %d of %d daemons", s.InForce, s.Total)
	if len(waiting) > maxNamedDaemons {
		waiting = append(waiting[:maxNamedDaemons], fmt.Sprintf("%d more", len(waiting)-maxNamedDaemons))
	}
	if len(waiting) > 0 {
		s.Text += "; waiting for " + strings.Join(waiting, ", ")
	}
	return s
}
