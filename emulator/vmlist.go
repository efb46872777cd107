package emulator

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumline/contractor"
)

// VMState says whether a VM remains in service.
type VMState string

// The states of VMs in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one VM in the platform's list.
type VMEntry struct {
	VM      contractor.VM   `json:"vm"`
	Zone    contractor.Zone `json:"zone"`
	Address netip.AddrPort  `json:"address"`
	State   VMState         `json:"state"`
}

// VMList is a fake of the platform's list of VMs, which shows changes after a lag.
type VMList struct {
	loopbackServer
	lag time.Duration

	mu       sync.Mutex
	entries  map[contractor.VM]VMEntry
	versions []listVersion
}

// listVersion is the list from a time until the next version.
type listVersion struct {
	at  time.Time
	vms []VMEntry
}

type listResponse struct {
	VMs []VMEntry `json:"vms"`
}

// NewVMList returns an empty list whose readers see changes after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, entries: make(map[contractor.VM]VMEntry)}
}

// Serve starts the list on a loopback address and returns its base URL.
func (l *VMList) Serve() (string, error) { return l.serve(l) }

// Set adds or changes VMs.
func (l *VMList) Set(entries ...VMEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		l.entries[e.VM] = e
	}
	l.record()
}

// Remove deletes a VM from the list.
func (l *VMList) Remove(vm contractor.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, vm)
	l.record()
}

// record appends the current list and drops the versions that the lag has passed.
func (l *VMList) record() {
	now := time.Now()
	vms := make([]VMEntry, 0, len(l.entries))
	for _, e := range l.entries {
		vms = append(vms, e)
	}
	slices.SortFunc(vms, func(a, b VMEntry) int { return strings.Compare(string(a.VM), string(b.VM)) })
	l.versions = append(l.versions, listVersion{at: now, vms: vms})
	for len(l.versions) > 1 && !l.versions[1].at.After(now.Add(-l.lag)) {
		l.versions = l.versions[1:]
	}
}

// lagged returns the list of one lag ago.
func (l *VMList) lagged(now time.Time) []VMEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := []VMEntry{}
	for _, v := range l.versions {
		if v.at.After(now.Add(-l.lag)) {
			break
		}
		visible = v.vms
	}
	return visible
}

// ServeHTTP responds to GET requests for any path with the list.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, listResponse{VMs: l.lagged(time.Now())})
}
