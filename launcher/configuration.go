package launcher

import (
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/resolver"
)

// configurationHandler applies new versions of the configuration and evacuations of zones from the
// store. A version that cannot be decoded is skipped, and the last valid one stays in force.
type configurationHandler struct {
	daemon *Daemon
}

// Reset applies the newest configuration. Evacuations come first, so that a daemon that starts sends
// nothing to evacuated zones.
func (h *configurationHandler) Reset(entries []persister.Entry) {
	h.daemon.evacuator.Reset(entries)
	for _, e := range entries {
		h.apply(e)
	}
}

// Apply applies one change. When the configuration is deleted, the last one stays in force.
func (h *configurationHandler) Apply(c persister.Change) {
	h.daemon.evacuator.Apply(c)
	if !c.Deleted {
		h.apply(c.Entry)
	}
}

func (h *configurationHandler) apply(e persister.Entry) {
	d := h.daemon
	if e.Key != d.config.Adapter.ConfigurationKey {
		return
	}
	table, err := h.decodeTable(e.Value)
	if err != nil {
		d.config.Recorder.Event(recorder.ConfigurationSkipped, "key", e.Key, "revision", e.Revision, "err", err)
		return
	}
	if current := d.activeTable.Table(); current != nil && current.Version() >= table.Version() {
		return
	}
	// The limits are set before the table is replaced: until then a new account would be
	// served without a limit.
	d.shares.SetPrepaidLimits(prepaidLimits(table))
	d.activeTable.Replace(table)
	if frontend := d.frontend.Load(); frontend != nil {
		frontend.update()
	}
	d.config.Recorder.Event(recorder.ConfigurationApplied, "version", table.Version(), "revision", e.Revision,
		"services", len(table.Services()), "accounts", len(table.Accounts()))
}

func (h *configurationHandler) decodeTable(value []byte) (*resolver.Table, error) {
	document, err := h.daemon.config.Adapter.DecodeConfiguration(value)
	if err != nil {
		return nil, err
	}
	return resolver.NewTable(document)
}

// prepaidLimits returns the prepaid tokens of those accounts that have a prepaid balance.
func prepaidLimits(t *resolver.Table) map[contractor.Account]contractor.Tokens {
	prepaid := make(map[contractor.Account]contractor.Tokens)
	for _, a := range t.Accounts() {
		if a.HasPrepaid {
			prepaid[a.Name] = a.Prepaid
		}
	}
	return prepaid
}
