package catalog

import "github.com/cespare/xxhash/v2"

// nameIndex finds slots by name: open addressing with linear probing, eight bytes a place. Go's map takes four times as much for millions of names.
type nameIndex struct {
	places []place // a power of two
	count  int
	nameOf func(slot) string
}

// place is a slot and one in the lower half, and in the upper half a piece of its name's hash, which spares most looks at names; 0 is empty.
type place uint64

func newPlace(at slot, tag uint32) place { return place(tag)<<32 | place(at) + 1 }
func (p place) slot() slot               { return slot(uint32(p) - 1) }
func (p place) tag() uint32              { return uint32(p >> 32) }

func tagOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

const minPlaces = 64

func newNameIndex(nameOf func(slot) string) nameIndex {
	return nameIndex{places: make([]place, minPlaces), nameOf: nameOf}
}

func (x *nameIndex) mask() uint32 { return uint32(len(x.places) - 1) }

// locate is where a name is, or the empty place where it would be.
func (x *nameIndex) locate(name string, tag uint32) uint32 {
	at := tag & x.mask()
	for x.places[at] != 0 && (x.places[at].tag() != tag || x.nameOf(x.places[at].slot()) != name) {
		at = (at + 1) & x.mask()
	}
	return at
}

func (x *nameIndex) find(name string) (slot, bool) {
	found := x.places[x.locate(name, tagOf(name))]
	return found.slot(), found != 0
}

// add adds a slot whose name is not there yet.
func (x *nameIndex) add(at slot) {
	if 4*(x.count+1) > 3*len(x.places) {
		x.grow()
	}
	x.insert(newPlace(at, tagOf(x.nameOf(at))))
	x.count++
}

// insert puts a place where it belongs; its name is not there yet.
func (x *nameIndex) insert(p place) {
	at := p.tag() & x.mask()
	for x.places[at] != 0 {
		at = (at + 1) & x.mask()
	}
	x.places[at] = p
}

func (x *nameIndex) grow() {
	before := x.places
	x.places = make([]place, 2*len(before))
	for _, each := range before {
		if each != 0 {
			x.insert(each)
		}
	}
}

// delete removes a name, and closes the gap: what was put further on because of it moves back.
func (x *nameIndex) delete(name string) {
	gap := x.locate(name, tagOf(name))
	if x.places[gap] == 0 {
		return
	}
	x.count--
	for at := (gap + 1) & x.mask(); x.places[at] != 0; at = (at + 1) & x.mask() {
		home := x.places[at].tag() & x.mask()
		if (at-home)&x.mask() >= (at-gap)&x.mask() { // its home is not behind the gap
			x.places[gap] = x.places[at]
			gap = at
		}
	}
	x.places[gap] = 0
}
