package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// leastLoaded finds the node that would have the lowest load per slot after it
// is given another unit. Nodes with the same number of slots share a heap, because
// the one with the lowest load among them is the best for a unit of any weight.
type leastLoaded struct {
	nodes   []*nodeState
	classes []*slotClass
	// classOf is the slot class of each node, by the node's index.
	classOf []*slotClass
}

// slotClass is a heap of the nodes with the same number of slots.
type slotClass struct {
	nodes []*nodeState
	slots float64
	heap  []int
	// position is the position of each node in the heap, by the node's index.
	position map[int]int
}

func newLeastLoaded(nodes []*nodeState) *leastLoaded {
	l := &leastLoaded{nodes: nodes, classOf: make([]*slotClass, len(nodes))}
	bySlots := map[float64]*slotClass{}
	for i, n := range nodes {
		c := bySlots[n.slots]
		if c == nil {
			c = &slotClass{nodes: nodes, slots: n.slots, position: map[int]int{}}
			bySlots[n.slots] = c
			l.classes = append(l.classes, c)
		}
		l.classOf[i] = c
		c.Push(i)
	}
	slices.SortFunc(l.classes, func(a, b *slotClass) int { return cmp.Compare(a.slots, b.slots) })
	for _, c := range l.classes {
		heap.Init(c)
	}
	return l
}

// bestNode returns the node that would have the lowest load per slot after it is
// given a unit of the given weight.
func (l *leastLoaded) bestNode(weight float64) int {
	best := l.classes[0].heap[0]
	for _, c := range l.classes[1:] {
		i := c.heap[0]
		if l.nodes[i].loadPerSlotWith(weight) < l.nodes[best].loadPerSlotWith(weight) {
			best = i
		}
	}
	return best
}

// fix restores the heap order after a change of the node's load.
func (l *leastLoaded) fix(node int) {
	c := l.classOf[node]
	heap.Fix(c, c.position[node])
}

// Len, Less, Swap, Push and Pop implement heap.Interface. Equal loads are ordered
// by index, so that the result does not depend on the order of earlier changes.
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
	c.position[c.heap[a]] = a
	c.position[c.heap[b]] = b
}

// Push adds a node, given by its index.
func (c *slotClass) Push(x any) {
	i := x.(int)
	c.position[i] = len(c.heap)
	c.heap = append(c.heap, i)
}

// Pop removes the last node.
func (c *slotClass) Pop() any {
	last := c.heap[len(c.heap)-1]
	c.heap = c.heap[:len(c.heap)-1]
	delete(c.position, last)
	return last
}
