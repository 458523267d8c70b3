package router

import "math"

// group holds the targets of one service in one region. A binary tree over them bounds the cost of
// all targets below each node, so that a search visits only targets that can still be the best.
//
// The position of a target is random. Instances with the same reports therefore visit targets of
// nearly equal cost in different orders.
type group struct {
	region int32
	cross  bool
	slots  []int32 // by position
	size   int     // capacity of the tree in positions, a power of two
	nodes  []bound // the root is 1, the children of n are 2n and 2n+1, position p is at size+p
}

// bound is a lower bound on the cost of every target below a node.
type bound struct {
	// baseCosts is the least base cost among the targets that accept a stage, in seconds.
	baseCosts [stageCount][urgencyLevels]float64
	// tokenTime is the least token time, in seconds, or 0 if a position below the node is empty
	// or its target may receive no request.
	tokenTime float64
}

// emptyBound is the bound of a node without targets.
var emptyBound = func() (b bound) {
	for n := range b.baseCosts {
		for level := range b.baseCosts[n] {
			b.baseCosts[n][level] = math.Inf(1)
		}
	}
	return b
}()

// bound returns the bound of a single target.
func (s *slot) bound() bound {
	b := emptyBound
	if !s.usable || s.access == Exhausted {
		return b
	}
	b.tokenTime = s.tokenTime
	for n := range b.baseCosts {
		if s.stages&(1<<n) != 0 {
			b.baseCosts[n] = s.baseCosts
		}
	}
	return b
}

// minBound returns the lower bound over two nodes.
func minBound(a, b *bound) bound {
	out := bound{tokenTime: min(a.tokenTime, b.tokenTime)}
	for n := range out.baseCosts {
		for level := range out.baseCosts[n] {
			out.baseCosts[n][level] = min(a.baseCosts[n][level], b.baseCosts[n][level])
		}
	}
	return out
}

// cost returns the least possible cost of a query below a node, for targets that cache no block of
// the prompt. It counts the whole prompt as processed, so it may exceed the cost of a target that
// can fetch blocks.
func (b *bound) cost(q *query) float64 {
	return b.baseCosts[q.stage][q.level] + q.prefillTokens*b.tokenTime
}

// groupOf returns the index of a group, which it creates if necessary.
func (r *Router) groupOf(service, region int32) int32 {
	for int(service) >= len(r.byService) {
		r.byService = append(r.byService, nil)
		r.runningByService = append(r.runningByService, serviceRunning{})
	}
	for _, i := range r.byService[service] {
		if r.groups[i].region == region {
			return i
		}
	}
	i := int32(len(r.groups))
	r.groups = append(r.groups, &group{region: region, cross: region != r.region})
	r.byService[service] = append(r.byService[service], i)
	return i
}

// joinGroup adds a slot to its group at a random position.
func (r *Router) joinGroup(i int32) {
	s := &r.slots[i]
	s.group = r.groupOf(s.service, s.region)
	g := r.groups[s.group]
	p := len(g.slots)
	g.slots = append(g.slots, i)
	s.position = int32(p)
	if p >= g.size {
		r.grow(g)
	}
	r.updateBound(i)
	r.swap(g, p, r.rng.IntN(p+1))
}

// leaveGroup removes a slot from its group.
func (r *Router) leaveGroup(i int32) {
	s := &r.slots[i]
	g := r.groups[s.group]
	last := len(g.slots) - 1
	r.swap(g, int(s.position), last)
	g.slots = g.slots[:last]
	g.setBound(last, emptyBound)
}

// swap exchanges the slots at two positions.
func (r *Router) swap(g *group, p, q int) {
	if p == q {
		return
	}
	g.slots[p], g.slots[q] = g.slots[q], g.slots[p]
	for _, position := range []int{p, q} {
		i := g.slots[position]
		r.slots[i].position = int32(position)
		r.updateBound(i)
	}
}

// grow doubles the capacity of a group.
func (r *Router) grow(g *group) {
	g.size = max(1, 2*g.size)
	g.nodes = make([]bound, 2*g.size)
	for n := range g.nodes {
		g.nodes[n] = emptyBound
	}
	for p, i := range g.slots {
		g.nodes[g.size+p] = r.slots[i].bound()
	}
	for n := g.size - 1; n > 0; n-- {
		g.nodes[n] = minBound(&g.nodes[2*n], &g.nodes[2*n+1])
	}
}

// updateBound recomputes the bounds of a slot and of the nodes above it.
func (r *Router) updateBound(i int32) {
	s := &r.slots[i]
	r.groups[s.group].setBound(int(s.position), s.bound())
}

// setBound sets the bound of a position and updates the nodes above it.
func (g *group) setBound(position int, b bound) {
	n := g.size + position
	g.nodes[n] = b
	for n /= 2; n > 0; n /= 2 {
		parent := minBound(&g.nodes[2*n], &g.nodes[2*n+1])
		if parent == g.nodes[n] {
			return
		}
		g.nodes[n] = parent
	}
}

const (
	// maxVisits limits the targets of a group whose costs a search compares. Among engines of
	// one prefill rate the first one visited is the best except for noise, and the others only
	// spread the choices. Among engines of several rates a better one may be missed. Targets
	// that cannot accept the request do not count.
	maxVisits = 64
	// maxHeight is the height of a tree over as many targets as an int32 can number.
	maxHeight = 32
)

// searchNode is a node that a search has yet to examine.
type searchNode struct {
	node int32
	cost float64 // least possible cost below it
}

// search looks for a target of the group that costs less than the best so far. It descends to the
// child with the lower bound first, and to a random one of two equal children.
func (r *Router) search(g *group, q *query, best *candidate) {
	if len(g.slots) == 0 {
		return
	}
	var stack [maxHeight + 1]searchNode
	stack[0] = searchNode{1, g.nodes[1].cost(q)}
	extra := q.unreservedCost + q.regionCost(g.region, g.cross)
	tieBits := r.tieBits()
	visits := 0
	for top := 1; top > 0 && visits < maxVisits; {
		top--
		at := stack[top]
		r.visitedNodes++
		if at.cost+extra >= best.cost {
			continue
		}
		if int(at.node) >= g.size {
			visits += r.visit(g.slots[int(at.node)-g.size], q, best)
			continue
		}
		near, far := g.children(at.node, q, tieBits&1 != 0)
		tieBits = tieBits>>1 | tieBits<<63
		stack[top], stack[top+1] = far, near
		top += 2
	}
}

// children returns the children of a node, the one with the lower bound first.
func (g *group) children(n int32, q *query, swap bool) (near, far searchNode) {
	near = searchNode{2 * n, g.nodes[2*n].cost(q)}
	far = searchNode{2*n + 1, g.nodes[2*n+1].cost(q)}
	if far.cost < near.cost || swap && far.cost == near.cost {
		return far, near
	}
	return near, far
}

// visit considers a target and returns 1, or returns 0 if the target was considered before or
// cannot accept the request.
func (r *Router) visit(i int32, q *query, best *candidate) int {
	if r.cachedBlocks[i] > 0 || i == q.reservedEngine || !r.slots[i].accepts(i, q) {
		return 0
	}
	r.consider(i, q, best)
	return 1
}

// tieBits returns random bits to break ties with, or 0 if noise is disabled.
func (r *Router) tieBits() uint64 {
	if r.cfg.Noise == 0 {
		return 0
	}
	return r.rng.Uint64()
}
