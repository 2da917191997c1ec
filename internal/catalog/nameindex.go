package catalog

import "github.com/cespare/xxhash/v2"

// nameIndex finds slots by name: open addressing with linear probing, four bytes a place. Go's map takes eight times as much for millions of names.
type nameIndex struct {
	places []uint32 // a slot and one; 0: empty. A power of two
	count  int
	nameOf func(slot) string
}

const minPlaces = 64

func newNameIndex(nameOf func(slot) string) nameIndex {
	return nameIndex{places: make([]uint32, minPlaces), nameOf: nameOf}
}

func (x *nameIndex) mask() uint64 { return uint64(len(x.places) - 1) }

func (x *nameIndex) home(name string) uint64 { return xxhash.Sum64String(name) & x.mask() }

// place is where a name is, or the empty place where it would be.
func (x *nameIndex) place(name string) uint64 {
	at := x.home(name)
	for x.places[at] != 0 && x.nameOf(slot(x.places[at]-1)) != name {
		at = (at + 1) & x.mask()
	}
	return at
}

func (x *nameIndex) find(name string) (slot, bool) {
	content := x.places[x.place(name)]
	return slot(content - 1), content != 0
}

// add adds a slot whose name is not there yet.
func (x *nameIndex) add(at slot) {
	if 4*(x.count+1) > 3*len(x.places) {
		x.grow()
	}
	x.places[x.place(x.nameOf(at))] = uint32(at) + 1
	x.count++
}

func (x *nameIndex) grow() {
	before := x.places
	x.places = make([]uint32, 2*len(before))
	for _, content := range before {
		if content != 0 {
			x.places[x.place(x.nameOf(slot(content-1)))] = content
		}
	}
}

// delete removes a name, and closes the gap: what was put further on because of it moves back.
func (x *nameIndex) delete(name string) {
	gap := x.place(name)
	if x.places[gap] == 0 {
		return
	}
	x.count--
	for at := gap; ; {
		at = (at + 1) & x.mask()
		content := x.places[at]
		if content == 0 {
			break
		}
		home := x.home(x.nameOf(slot(content - 1)))
		if (at-home)&x.mask() >= (at-gap)&x.mask() { // its home is not behind the gap
			x.places[gap] = content
			gap = at
		}
	}
	x.places[gap] = 0
}
