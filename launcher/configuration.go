package launcher

import (
	"laburnumline/contractor"
	"laburnumline/director"
	"laburnumline/persister"
	"laburnumline/recorder"
)

// configurationHandler puts new versions of the configuration in force. A version
// that cannot be read leaves the last good one in force.
type configurationHandler struct {
	daemon *Daemon
}

// Reset takes the newest configuration.
func (h *configurationHandler) Reset(entries []persister.Entry) {
	for _, e := range entries {
		h.apply(e)
	}
}

// Apply takes one change. Deleting the configuration leaves the last one in force.
func (h *configurationHandler) Apply(c persister.Change) {
	if !c.Deleted {
		h.apply(c.Entry)
	}
}

func (h *configurationHandler) apply(e persister.Entry) {
	d := h.daemon
	if e.Key != d.config.Adapter.ConfigurationKey {
		return
	}
	table, err := h.table(e.Value)
	if err != nil {
		d.config.Recorder.Event(recorder.ConfigurationSkipped, "key", e.Key, "revision", e.Revision, "err", err)
		return
	}
	if old := d.holder.Table(); old != nil && old.Version() >= table.Version() {
		return
	}
	// The bounds come first: an account that has none yet would be served without one.
	d.shares.SetPrepaidLimits(bounds(table))
	d.holder.Replace(table)
	d.config.Recorder.Event(recorder.ConfigurationApplied, "version", table.Version(), "revision", e.Revision,
		"services", len(table.Services()), "accounts", len(table.Accounts()))
}

func (h *configurationHandler) table(value []byte) (*director.Table, error) {
	document, err := h.daemon.config.Adapter.DecodeConfiguration(value)
	if err != nil {
		return nil, err
	}
	return director.NewTable(document)
}

// bounds returns what the accounts of a configuration have prepaid.
func bounds(t *director.Table) map[contractor.Account]contractor.Tokens {
	prepaid := make(map[contractor.Account]contractor.Tokens)
	for _, a := range t.Accounts() {
		if a.HasPrepaid {
			prepaid[a.Name] = a.Prepaid
		}
	}
	return prepaid
}
