package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
)

// maxListBytes is the maximum size of a list. A longer one is truncated and cannot be
// decoded.
const maxListBytes = 64 << 20

// HTTPLister reads the list from an HTTP service, as
//
//	{"vms": [{"vm": "entry-1", "zone": "a", "address": "10.0.0.11:7443", "state": "live"}]}
//
// The state is live or leaving. An address without a port gets Port. If the service
// sends an ETag, later requests are conditional. A list that is equal to the last
// one is not decoded again.
type HTTPLister struct {
	URL    *url.URL
	Client *http.Client
	// Port is the port that daemons listen on.
	Port uint16

	mu       sync.Mutex
	etag     string
	lastHash uint64 // of the body from which lastList was decoded
	lastList []ListedVM
}

type listedJSON struct {
	VM      contractor.VM   `json:"vm"`
	Zone    contractor.Zone `json:"zone"`
	Address string          `json:"address"`
	State   string          `json:"state"`
}

// List returns the newest list.
func (l *HTTPLister) List(ctx context.Context) ([]ListedVM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, err := l.get(ctx)
	if err != nil {
		return nil, fmt.Errorf("read VM list from %s: %w", l.URL, err)
	}
	return list, nil
}

func (l *HTTPLister) get(ctx context.Context) ([]ListedVM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.URL.String(), nil)
	if err != nil {
		return nil, err
	}
	if l.etag != "" {
		request.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified && l.etag != "" {
		return l.lastList, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	hash := xxhash.Sum64(body)
	if l.lastList != nil && hash == l.lastHash {
		return l.lastList, nil
	}
	list, err := l.decode(body)
	if err != nil {
		return nil, err
	}
	l.etag, l.lastHash, l.lastList = response.Header.Get("ETag"), hash, list
	return list, nil
}

func (l *HTTPLister) decode(body []byte) ([]ListedVM, error) {
	var document struct {
		VMs *[]listedJSON `json:"vms"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if document.VMs == nil {
		return nil, fmt.Errorf("decode: field %q is missing", "vms")
	}
	list := make([]ListedVM, 0, len(*document.VMs))
	for _, raw := range *document.VMs {
		listed, err := l.parseVM(raw)
		if err != nil {
			return nil, fmt.Errorf("VM %q: %w", raw.VM, err)
		}
		list = append(list, listed)
	}
	return list, nil
}

func (l *HTTPLister) parseVM(raw listedJSON) (ListedVM, error) {
	listed := ListedVM{VM: raw.VM, Zone: raw.Zone, Leaving: raw.State == "leaving"}
	if raw.State != "live" && raw.State != "leaving" {
		return ListedVM{}, fmt.Errorf("state is %q, allowed: live or leaving", raw.State)
	}
	if raw.Address == "" {
		return listed, nil
	}
	if addrPort, err := netip.ParseAddrPort(raw.Address); err == nil {
		listed.Address = addrPort
		return listed, nil
	}
	address, err := netip.ParseAddr(raw.Address)
	if err != nil {
		return ListedVM{}, fmt.Errorf("address is %q, allowed: an IP address with or without a port", raw.Address)
	}
	listed.Address = netip.AddrPortFrom(address, l.Port)
	return listed, nil
}
