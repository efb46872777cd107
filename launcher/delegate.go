package launcher

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"laburnumline/balancer"
	"laburnumline/contractor"
	"laburnumline/delegator"
	"laburnumline/forwarder"
	"laburnumline/recorder"
	"laburnumline/resolver"
)

// delegateAddress returns the address for requests that other daemons delegate. The zero value means
// that there are none.
func (s Settings) delegateAddress() netip.AddrPort { return s.internalAddress(delegatePortOffset) }

// delegatePeers returns the addresses at which the other daemons serve delegated requests.
func (d *Daemon) delegatePeers() []netip.AddrPort { return d.peersAt(delegatePortOffset) }

// signed reports whether a header is that of an upstream's response.
func (d *Daemon) signed(h http.Header) bool { return d.config.Adapter.ParseResponseHeader(h).Signed }

// upstreamAddresses returns the addresses of the upstreams of a service.
func (d *Daemon) upstreamAddresses(service string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, u := range d.registrar.Of(resolver.ServiceName(service)) {
		addresses = append(addresses, u.Address)
	}
	return addresses
}

// serveDelegated serves requests that other daemons delegate, if there is a port for it, until ctx ends. Once the daemon
// stops, which ends starting, it does not begin to.
func (d *Daemon) serveDelegated(ctx, starting context.Context) error {
	address := d.config.Settings.delegateAddress()
	if !address.IsValid() {
		return nil
	}
	listener, err := listenUntilFree(starting, d.config.Recorder, "delegation", address, d.config.Listen)
	if err != nil {
		return d.listenFailed(starting, recorder.DelegationFailed, err)
	}
	server := newDrainableServer(&http.Server{
		Handler: delegator.Handler(d.handleDelegated), BaseContext: d.requestContext,
		ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: relayIdleTimeout, MaxHeaderBytes: internalHeaderBytes, ErrorLog: d.config.Recorder.HTTPErrorLog("delegate"),
	}, d.link.Listener(listener))
	d.delegateServer.Store(server)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	d.serve(server.Server, server.connectionListener())
	return nil
}

// handleDelegated serves a request that another daemon has sent. A stopping daemon declines it, and so does one whose
// configuration is older than that of the other daemon.
func (d *Daemon) handleDelegated(w http.ResponseWriter, r *http.Request, request *delegator.Request) {
	if d.lifetime.stopping() {
		delegator.Decline(w)
		return
	}
	if table := d.activeTable.Table(); table == nil || table.Version() < request.Version {
		d.config.Recorder.Count("delegator.outdated", 1)
		delegator.Decline(w)
		return
	}
	d.config.Recorder.Count("delegator.served", 1)
	path, _, _ := strings.Cut(request.Target, "?")
	f := &forwarder.Request{
		ID: request.ID, Method: request.Method, Host: request.Host, Path: path, Target: request.Target, Header: request.Header,
		Body: bytes.NewReader(request.Body), Length: int64(len(request.Body)), Key: request.Key,
		CallerTimeout: max(request.TimeRemaining, time.Millisecond), ReceivedAt: time.Now(),
		PromptTokens: contractor.Tokens(request.PromptTokens), MaxOutputTokens: contractor.Tokens(request.MaxOutputTokens),
		ResumeAfter: request.ResumeAfter, Resumes: request.Resumes, Delegated: true, Executions: max(request.Executions, 0), Counted: request.Counted,
	}
	if f.Header == nil {
		f.Header = make(http.Header)
	}
	for _, p := range request.Parts {
		f.PromptParts = append(f.PromptParts, balancer.Part{ID: p.ID, Tokens: p.Tokens})
	}
	d.forwarder.Serve(r.Context(), w, f)
}
