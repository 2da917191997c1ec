package decide

import "slices"

// heap is a binary heap whose items store their index, so that one can be moved or removed. The stored index is
// one more than that in items; 0 means that the item is not in the heap.
type heap[T any] struct {
	items   []T
	less    func(a, b T) bool
	indexOf func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

// min returns the least item; the heap must not be empty.
func (h *heap[T]) min() T { return h.items[0] }

// fix adds an item, or moves it to its place after its order has changed.
func (h *heap[T]) fix(x T) {
	p := h.indexOf(x)
	if *p == 0 {
		h.items = append(h.items, x)
		*p = len(h.items)
	}
	if !h.up(*p - 1) {
		h.down(*p - 1)
	}
}

// remove removes an item, if it is in the heap.
func (h *heap[T]) remove(x T) {
	p := h.indexOf(x)
	if *p == 0 {
		return
	}
	i, last := *p-1, len(h.items)-1
	*p = 0
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.items[i] = moved
		*h.indexOf(moved) = i + 1
		if !h.up(i) {
			h.down(i)
		}
	}
	if cap(h.items) > 64 && len(h.items) < cap(h.items)/8 { // releases the memory of a peak
		h.items = slices.Clone(h.items)
	}
}

func (h *heap[T]) pop() T {
	x := h.items[0]
	h.remove(x)
	return x
}

func (h *heap[T]) up(i int) (moved bool) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (h *heap[T]) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.items); c++ {
			if h.less(h.items[c], h.items[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexOf(h.items[i]), *h.indexOf(h.items[j]) = i+1, j+1
}
