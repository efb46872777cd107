package forwarder

import (
	"slices"

	"laburnumline/refuser"
	"laburnumline/registrar"
)

// permitted returns those of some upstreams that may run the request.
func (x *exchange) permitted(all []registrar.Upstream) []registrar.Upstream {
	if !x.softwareKnown && !x.hasHomes() {
		return all
	}
	var permitted []registrar.Upstream
	for _, u := range all {
		if (!x.softwareKnown || u.Software == x.software) && x.isHome(u.Zone) {
			permitted = append(permitted, u)
		}
	}
	return permitted
}

// hasHomes reports whether the request may run in some regions only.
func (x *exchange) hasHomes() bool {
	return len(x.route.AllowedRegions) > 0 || x.account != nil && len(x.account.AllowedRegions) > 0
}

// isHome reports whether the request may run in a zone. The regions of the route and those of the account
// both apply. A zone of which the region is unknown is in none.
func (x *exchange) isHome(zone string) bool {
	if !x.hasHomes() {
		return true
	}
	region := x.forwarder.config.RegionOf(zone)
	allows := func(regions []string) bool {
		return len(regions) == 0 || region != "" && slices.Contains(regions, region)
	}
	return allows(x.route.AllowedRegions) && (x.account == nil || allows(x.account.AllowedRegions))
}

// refuseUnpermitted returns the refusal of a request that no upstream may run now: all are in evacuated zones,
// or none is in its regions. It returns nil if there are upstreams, or if the service has none at all.
func (x *exchange) refuseUnpermitted() *refuser.Refusal {
	upstreams := x.forwarder.config.Upstreams
	all := upstreams.Of(x.service.Name)
	if len(all) > 0 && !x.softwareKnown && !x.hasHomes() || len(x.permitted(all)) > 0 {
		return nil
	}
	evacuated := upstreams.EvacuatedOf(x.service.Name)
	if len(x.permitted(evacuated)) > 0 {
		return refuser.New(refuser.Evacuated, "choose").WithRetryAfter(evacuatedRetryAfter).WithDetail("all upstreams of service %q are in evacuated zones", x.service.Name)
	}
	if x.hasHomes() && len(all)+len(evacuated) > 0 {
		x.forwarder.config.Recorder.Count("homes.refused", 1)
		var regions []string
		if x.account != nil {
			regions = x.account.AllowedRegions
		}
		return noUpstream().WithDetail("no upstream of service %q is in the regions %q of the route and %q of the account", x.service.Name, x.route.AllowedRegions, regions)
	}
	return nil
}
