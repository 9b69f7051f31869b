// Package capacity finds a worker with enough free capacity in logarithmic time.
//
// # Usage
//
//	var t capacity.Tree
//	t.Set(0, resource.Vector{Slots: 2})
//	t.Set(1, resource.Vector{Slots: 8})
//	i := t.First(0, t.Len(), resource.Vector{Slots: 4}) // 1
package capacity

import "github.com/cowslipgap/cowslipgap/resource"

// NotFound is returned by [Tree.First] if the need fits at no index.
const NotFound = -1

// Tree is a segment tree. Each leaf holds the amount at an index, and each inner
// node the maximum of its two subtrees in every dimension. The zero Tree is empty
// and ready to use.
type Tree struct {
	size  int               // leaves in use
	width int               // leaves allocated, a power of two
	nodes []resource.Vector // 1-based heap order; leaves start at width
}

// Len returns the number of indexes in use.
func (t *Tree) Len() int { return t.size }

// Get returns the amount at index i.
func (t *Tree) Get(i int) resource.Vector { return t.nodes[t.width+i] }

// Set stores the amount at index i, growing the tree as needed.
func (t *Tree) Set(i int, v resource.Vector) {
	if i >= t.width {
		t.grow(i + 1)
	}
	t.size = max(t.size, i+1)
	n := t.width + i
	t.nodes[n] = v
	for n >>= 1; n >= 1; n >>= 1 {
		m := t.nodes[2*n].Max(t.nodes[2*n+1])
		if m == t.nodes[n] {
			return
		}
		t.nodes[n] = m
	}
}

func (t *Tree) grow(size int) {
	width := max(1, t.width)
	for width < size {
		width *= 2
	}
	nodes := make([]resource.Vector, 2*width)
	if t.width > 0 {
		copy(nodes[width:], t.nodes[t.width:])
	}
	for n := width - 1; n >= 1; n-- {
		nodes[n] = nodes[2*n].Max(nodes[2*n+1])
	}
	t.width, t.nodes = width, nodes
}

// First returns the lowest index in [lo, hi) with an amount into which need fits,
// or NotFound. It takes logarithmic time, except where need fits an inner node's
// maximum only because the maxima of the dimensions are at different indexes.
func (t *Tree) First(lo, hi int, need resource.Vector) int {
	hi = min(hi, t.size)
	if lo >= hi {
		return NotFound
	}
	return t.first(1, 0, t.width, lo, hi, need)
}

// first searches the subtree at node n, which covers the indexes [from, to).
func (t *Tree) first(n, from, to, lo, hi int, need resource.Vector) int {
	if to <= lo || from >= hi || !need.Fits(t.nodes[n]) {
		return NotFound
	}
	if to-from == 1 {
		return from
	}
	mid := (from + to) / 2
	if i := t.first(2*n, from, mid, lo, hi, need); i != NotFound {
		return i
	}
	return t.first(2*n+1, mid, to, lo, hi, need)
}
