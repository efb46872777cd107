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

// maxNamed is the number of daemons that a status names in words.
const maxNamed = 5

// DaemonStatus tells what is in force in one daemon.
type DaemonStatus struct {
	VM          contractor.VM          `json:"vm"`
	Zone        contractor.Zone        `json:"zone"`
	Incarnation contractor.Incarnation `json:"incarnation"`
	// Reached is false when the daemon did not answer.
	Reached bool `json:"reached"`
	// Contracts and Upstreams are the revisions up to which changes are in force.
	Contracts contractor.Revision `json:"contracts,omitempty"`
	Upstreams contractor.Revision `json:"upstreams,omitempty"`
	// ContactAge is how long ago the daemon knew that its copies were current.
	// It is empty when it never did.
	ContactAge string `json:"contact_age,omitempty"`
}

// FleetStatus tells what is in force in all daemons.
type FleetStatus struct {
	Daemons []DaemonStatus `json:"daemons"`
	Reached int            `json:"reached"`
	Total   int            `json:"total"`
}

// ChangeStatus tells where one change is in force.
type ChangeStatus struct {
	Section  string              `json:"section"`
	Revision contractor.Revision `json:"revision"`
	InForce  int                 `json:"in_force"`
	Total    int                 `json:"total"`
	// Waiting lists the daemons where the change is not known to be in force.
	Waiting []DaemonStatus `json:"waiting,omitempty"`
	// Text says the same in a sentence.
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

func (a *Administrator) fleetStatus(ctx context.Context, _ *request) (reply, error) {
	var s FleetStatus
	for _, d := range a.config.Watcher.DaemonRevisions(ctx) {
		s.Daemons = append(s.Daemons, daemonStatus(&d))
		s.Total++
		if d.Reached {
			s.Reached++
		}
	}
	return reply{body: s}, nil
}

func (a *Administrator) changeStatus(ctx context.Context, r *request) (reply, error) {
	sections := map[string]watcher.Section{contractSection: watcher.Contracts, upstreamSection: watcher.Upstreams}
	section, ok := sections[r.parameter("section")]
	if !ok {
		return reply{}, contractor.FieldErrors{{Field: "section", Value: r.parameter("section"), Allowed: "contract or upstream"}}
	}
	revision, err := strconv.ParseInt(r.parameter("revision"), 10, 64)
	if err != nil || revision <= 0 {
		return reply{}, contractor.FieldErrors{{Field: "revision", Value: r.parameter("revision"), Allowed: "a revision greater than 0"}}
	}
	daemons := a.config.Watcher.DaemonRevisions(ctx)
	return reply{body: statusOf(section, contractor.Revision(revision), daemons)}, nil
}

// statusOf decides from the daemons' answers where a change is in force.
func statusOf(section watcher.Section, revision contractor.Revision, daemons []watcher.DaemonRevision) ChangeStatus {
	s := ChangeStatus{Section: section.String(), Revision: revision, Total: len(daemons)}
	var names []string
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
		names = append(names, fmt.Sprintf("%s (%s)", d.Peer.VM, reason))
	}
	s.Text = fmt.Sprintf("in force on %d of %d daemons", s.InForce, s.Total)
	if len(names) > maxNamed {
		names = append(names[:maxNamed], fmt.Sprintf("%d more", len(names)-maxNamed))
	}
	if len(names) > 0 {
		s.Text += "; waiting for " + strings.Join(names, ", ")
	}
	return s
}
