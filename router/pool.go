package router

import (
	"iter"
	"slices"
	"sort"
	"time"

	"laburnumline/contractor"
	"laburnumline/throttler"
)

const (
	// kindCount is the number of kinds of upstreams.
	kindCount = 2
	// ringPoints is the number of points of each upstream on a pool's hash ring.
	ringPoints = 8
	// ringCandidates is the number of upstreams that a ring assigns to a prefix.
	ringCandidates = 2
	// initialStartRange is the range of random initial values of node.lastStart.
	initialStartRange = time.Second
)

// index finds upstreams by target and by name. It is immutable; every change of
// the set of upstreams replaces it.
type index struct {
	// pools holds the pools of each kind by target.
	pools  [kindCount]map[string]*pool
	byName map[string]*node
	// zones lists the known zones. Positions stay the same in later indexes.
	zones []contractor.Zone
}

// zone returns the position of a zone in zones, or -1.
func (i *index) zone(zone contractor.Zone) int32 {
	for number, other := range i.zones {
		if other == zone {
			return int32(number)
		}
	}
	return -1
}

func (i *index) pool(kind contractor.Kind, target string) *pool {
	if int(kind) >= kindCount {
		return nil
	}
	return i.pools[kind][target]
}

// ringPoint is one point of an upstream on a hash ring.
type ringPoint struct {
	hash uint64
	node int32
}

// pool is the set of upstreams that serve one target and accept new requests.
type pool struct {
	nodes []*node
	// positions maps an id, less firstID, to the position in nodes plus one. Zero
	// means absent.
	positions []int32
	firstID   int32
	ring      []ringPoint
}

// position returns the position in nodes of an id, or -1.
func (p *pool) position(id int32) int {
	at := int(id - p.firstID)
	if uint(at) >= uint(len(p.positions)) {
		return -1
	}
	return int(p.positions[at]) - 1
}

// limitIDs returns the IDs of the request limits of all upstreams.
func (p *pool) limitIDs() iter.Seq[throttler.ID] {
	return func(yield func(throttler.ID) bool) {
		for _, n := range p.nodes {
			if !yield(n.limitID) {
				return
			}
		}
	}
}

func (p *pool) add(n *node) { p.nodes = append(p.nodes, n) }

// pin makes n the only candidate if it is open, in the pool and not excluded.
func (p *pool) pin(n *node, q *Query, c *candidates) bool {
	if n == nil || n.closed.Load() || p.position(n.id) < 0 || n.nameIn(q.Exclude) {
		return false
	}
	c.add(n)
	return true
}

// build builds the positions and the hash ring after all upstreams are added.
func (p *pool) build() {
	slices.SortFunc(p.nodes, func(a, b *node) int { return int(a.id - b.id) })
	p.firstID = p.nodes[0].id
	p.positions = make([]int32, p.nodes[len(p.nodes)-1].id-p.firstID+1)
	p.ring = make([]ringPoint, 0, len(p.nodes)*ringPoints)
	for i, n := range p.nodes {
		p.positions[n.id-p.firstID] = int32(i) + 1
		base := hashName(n.upstream.Load().Name)
		for j := range uint64(ringPoints) {
			p.ring = append(p.ring, ringPoint{mix(base + j*0x9e3779b97f4a7c15), int32(i)})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

// visitAssigned calls visit for the upstreams that the ring assigns to a digest.
func (p *pool) visitAssigned(digest uint64, visit func(*node)) {
	key := mix(digest)
	at := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= key })
	last := int32(-1)
	for i, found := 0, 0; i < len(p.ring) && found < ringCandidates; i++ {
		point := p.ring[(at+i)%len(p.ring)]
		if point.node == last {
			continue
		}
		visit(p.nodes[point.node])
		last = point.node
		found++
	}
}

// hashName is the FNV-1a hash of an upstream's name. It is the same in every daemon.
func hashName(name string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * 1099511628211
	}
	return hash
}

// SetUpstreams replaces the set of announced upstreams. Leaving upstreams get no
// new requests. Requests in flight at leaving and removed ones are counted until
// they end.
func (r *Router) SetUpstreams(now time.Time, list []contractor.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	announced := make(map[string]bool, len(list))
	for _, u := range list {
		announced[u.Name] = true
		r.updateNode(now, u)
	}
	for name, n := range r.nodes {
		if announced[name] {
			continue
		}
		n.removed = true
		n.closed.Store(true)
		if n.idle() {
			delete(r.nodes, name)
		}
	}
	r.rebuild()
}

// updateNode adds or updates the node of an announced upstream. The caller holds r.mu.
func (r *Router) updateNode(now time.Time, u contractor.Upstream) {
	n := r.nodes[u.Name]
	if n == nil {
		r.nextID++
		// A random initial value: each daemon starts its rotation in another order.
		offset := instant(r.random.intN(int(initialStartRange)))
		n = &node{id: r.nextID, limitID: throttler.IDOf(u.Name, 0), config: &r.config}
		n.lastStart.Store(int64(r.instant(now) - offset))
		r.nodes[u.Name] = n
	}
	n.upstream.Store(&u)
	n.removed = false
	n.closed.Store(u.Leaving || r.unavailableVMs[u.VM])
}

// SetUnavailableVMs replaces the set of VMs that are leaving or gone according to
// the VM list. Their upstreams get no new requests.
func (r *Router) SetUnavailableVMs(vms map[contractor.VM]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailableVMs = make(map[contractor.VM]bool, len(vms))
	for vm, unavailable := range vms {
		if unavailable && vm != "" {
			r.unavailableVMs[vm] = true
		}
	}
	changed := false
	for _, n := range r.nodes {
		u := n.upstream.Load()
		closed := n.removed || u.Leaving || r.unavailableVMs[u.VM]
		changed = changed || n.closed.Swap(closed) != closed
	}
	if changed {
		r.rebuild()
	}
}

// rebuild replaces the index. The caller holds r.mu.
func (r *Router) rebuild() {
	next := &index{
		byName: make(map[string]*node, len(r.nodes)),
		zones:  r.index.Load().zones,
	}
	for kind := range next.pools {
		next.pools[kind] = make(map[string]*pool)
	}
	for name, n := range r.nodes {
		next.byName[name] = n
		if n.closed.Load() {
			continue
		}
		u := n.upstream.Load()
		if next.zone(u.Zone) < 0 {
			next.zones = append(slices.Clip(next.zones), u.Zone)
		}
		n.zone.Store(next.zone(u.Zone))
		next.add(u, n)
	}
	next.buildPools()
	r.index.Store(next)
}

func (i *index) add(u *contractor.Upstream, n *node) {
	if int(u.Kind) >= kindCount {
		return
	}
	pools := i.pools[u.Kind]
	for _, target := range targets(u) {
		if pools[target] == nil {
			pools[target] = &pool{}
		}
		pools[target].add(n)
	}
}

func (i *index) buildPools() {
	for _, pools := range i.pools {
		for _, p := range pools {
			p.build()
		}
	}
}

// targets returns the targets that an upstream serves.
func targets(u *contractor.Upstream) []string {
	if u.Kind == contractor.KindService {
		return []string{u.Service}
	}
	return u.Models
}
