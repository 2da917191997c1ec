package decide

import "slices"

// heap is a binary heap whose items know their position, so that one can be moved or removed. The position
// is kept plus one: 0 is not in the heap.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

// min is the least item; the heap must not be empty.
func (h *heap[T]) min() T { return h.items[0] }

// fix moves an item to its position, in the heap already or not.
func (h *heap[T]) fix(x T) {
	p := h.place(x)
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
	p := h.place(x)
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
		*h.place(moved) = i + 1
		if !h.up(i) {
			h.down(i)
		}
	}
	if cap(h.items) > 64 && len(h.items) < cap(h.items)/8 { // a peak's memory is released
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
	*h.place(h.items[i]), *h.place(h.items[j]) = i+1, j+1
}
