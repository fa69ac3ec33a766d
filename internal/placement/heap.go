package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// leastLoaded finds the node that would have the lowest load per slot with one
// more unit. Nodes with equal slots share a heap, because among them the one
// with the lowest load is the best for a unit of any weight.
type leastLoaded struct {
	nodes   []*nodeState
	classes []*slotClass
	// class is the class of each node.
	class []*slotClass
}

// slotClass is a heap of the nodes that have the same number of slots.
type slotClass struct {
	nodes []*nodeState
	slots float64
	heap  []int
	// at is the position in the heap of each node, by the node's index.
	at map[int]int
}

func newLeastLoaded(nodes []*nodeState) *leastLoaded {
	l := &leastLoaded{nodes: nodes, class: make([]*slotClass, len(nodes))}
	bySlots := map[float64]*slotClass{}
	for i, n := range nodes {
		c := bySlots[n.slots]
		if c == nil {
			c = &slotClass{nodes: nodes, slots: n.slots, at: map[int]int{}}
			bySlots[n.slots] = c
			l.classes = append(l.classes, c)
		}
		l.class[i] = c
		c.Push(i)
	}
	slices.SortFunc(l.classes, func(a, b *slotClass) int { return cmp.Compare(a.slots, b.slots) })
	for _, c := range l.classes {
		heap.Init(c)
	}
	return l
}

// best returns the node that has the lowest load per slot after it was given a
// unit of that weight.
func (l *leastLoaded) best(weight float64) int {
	best := l.classes[0].heap[0]
	for _, c := range l.classes[1:] {
		i := c.heap[0]
		if l.nodes[i].ratioWith(weight) < l.nodes[best].ratioWith(weight) {
			best = i
		}
	}
	return best
}

// fix restores the order after the load of a node changed.
func (l *leastLoaded) fix(node int) {
	c := l.class[node]
	heap.Fix(c, c.at[node])
}

// Len, Less, Swap, Push and Pop implement heap.Interface. Equal loads are
// ordered by index, so that the result doesn't depend on the heap's history.
func (c *slotClass) Len() int { return len(c.heap) }

// Less orders nodes by load, then by index.
func (c *slotClass) Less(a, b int) bool {
	i, j := c.heap[a], c.heap[b]
	if c.nodes[i].load != c.nodes[j].load {
		return c.nodes[i].load < c.nodes[j].load
	}
	return i < j
}

// Swap exchanges two nodes and their recorded positions.
func (c *slotClass) Swap(a, b int) {
	c.heap[a], c.heap[b] = c.heap[b], c.heap[a]
	c.at[c.heap[a]] = a
	c.at[c.heap[b]] = b
}

// Push adds a node, given by its index.
func (c *slotClass) Push(x any) {
	i := x.(int)
	c.at[i] = len(c.heap)
	c.heap = append(c.heap, i)
}

// Pop removes the last node.
func (c *slotClass) Pop() any {
	last := c.heap[len(c.heap)-1]
	c.heap = c.heap[:len(c.heap)-1]
	delete(c.at, last)
	return last
}
