package launcher

import (
	"context"
	"net/netip"

	"laburnumline/contractor"
	"laburnumline/lender"
	"laburnumline/recorder"
)

// loans is the address for loans between daemons, which has the same port on all VMs: the
// second internal one. The zero value means that nobody lends.
func (s Settings) loans() netip.AddrPort {
	if !s.InternalAddress.IsValid() || s.LastInternalPort <= s.InternalAddress.Port() {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(s.InternalAddress.Addr(), s.InternalAddress.Port()+1)
}

// lend answers other daemons that lack tokens, until ctx ends.
func (d *Daemon) lend(ctx context.Context) error {
	address := d.config.Settings.loans()
	if !address.IsValid() {
		return nil
	}
	conn, err := lender.Listen(address)
	if err != nil {
		d.config.Recorder.Event(recorder.LoanFailed, "step", "listen", "err", err)
		return err
	}
	l := lender.New(lender.Config{Conn: conn, Shares: d.shares, Peers: d.lenders, Recorder: d.config.Recorder})
	d.lender.Store(l)
	l.Run(ctx)
	return nil
}

// lenders returns where other daemons answer that may lend.
func (d *Daemon) lenders(account contractor.Account) []netip.AddrPort {
	addresses := d.shares.TransferPeers(account)
	for i, a := range addresses {
		addresses[i] = netip.AddrPortFrom(a.Addr(), d.config.Settings.loans().Port())
	}
	return addresses
}

// borrow asks other daemons for tokens.
func (d *Daemon) borrow(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	l := d.lender.Load()
	if l == nil {
		return 0
	}
	return l.RequestTransfer(ctx, account, tokens)
}
