package launcher

import (
	"context"
	"net/netip"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/transferrer"
)

// transferAddress returns the address for transfers of tokens between daemons. Its port is
// the second internal one, which is the same on all VMs. The zero value means that there are
// no transfers.
func (s Settings) transferAddress() netip.AddrPort { return s.internalAddress(transferPortOffset) }

// serveTransfers serves other daemons that request tokens, until ctx ends.
func (d *Daemon) serveTransfers(ctx context.Context) error {
	address := d.config.Settings.transferAddress()
	if !address.IsValid() {
		return nil
	}
	conn, err := listenUntilFree(ctx, d.config.Recorder, "transfers", address, transferrer.Listen)
	if err != nil {
		return d.listenFailed(ctx, recorder.LoanFailed, err)
	}
	t := transferrer.New(transferrer.Config{Conn: conn, Shares: d.shares, Peers: d.transferPeers, Recorder: d.config.Recorder})
	d.transferrer.Store(t)
	t.Run(ctx)
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
	t := d.transferrer.Load()
	if t == nil {
		return 0
	}
	return t.RequestTransfer(ctx, account, tokens)
}
