package launcher

import (
	"context"
	"net/netip"

	"laburnumline/contractor"
	"laburnumline/lender"
	"laburnumline/recorder"
)

// transferAddress returns the address for transfers of tokens between daemons. Its port is
// the second internal one, which is the same on all VMs. The zero value means that there are
// no transfers.
func (s Settings) transferAddress() netip.AddrPort {
	if !s.InternalAddress.IsValid() || s.LastInternalPort <= s.InternalAddress.Port() {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(s.InternalAddress.Addr(), s.InternalAddress.Port()+1)
}

// serveTransfers serves other daemons that request tokens, until ctx ends.
func (d *Daemon) serveTransfers(ctx context.Context) error {
	address := d.config.Settings.transferAddress()
	if !address.IsValid() {
		return nil
	}
	conn, err := lender.Listen(address)
	if err != nil {
		d.config.Recorder.Event(recorder.LoanFailed, "step", "listen", "err", err)
		return err
	}
	l := lender.New(lender.Config{Conn: conn, Shares: d.shares, Peers: d.transferPeers, Recorder: d.config.Recorder})
	d.lender.Store(l)
	l.Run(ctx)
	return nil
}

// transferPeers returns the transfer addresses of daemons that may have tokens of an account.
func (d *Daemon) transferPeers(account contractor.Account) []netip.AddrPort {
	addresses := d.shares.TransferPeers(account)
	for i, a := range addresses {
		addresses[i] = netip.AddrPortFrom(a.Addr(), d.config.Settings.transferAddress().Port())
	}
	return addresses
}

// requestTransfer requests tokens of an account from other daemons. It returns how many were
// transferred.
func (d *Daemon) requestTransfer(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	l := d.lender.Load()
	if l == nil {
		return 0
	}
	return l.RequestTransfer(ctx, account, tokens)
}
