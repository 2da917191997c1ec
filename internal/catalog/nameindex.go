package catalog

import "github.com/cespare/xxhash/v2"

// nameIndex is a hash table from names to slots, with open addressing, linear probing and eight bytes per table entry. For millions of names Go's map takes four
// times as much memory.
type nameIndex struct {
	table  []tableEntry // its length is a power of two
	count  int
	nameOf func(slot) string
}

// tableEntry holds the slot plus one in the lower half, and in the upper half a part of the name's hash, which avoids most comparisons of names; 0 means empty.
type tableEntry uint64

func newTableEntry(at slot, tag uint32) tableEntry { return tableEntry(tag)<<32 | tableEntry(at) + 1 }
func (e tableEntry) slot() slot                    { return slot(uint32(e) - 1) }
func (e tableEntry) tag() uint32                   { return uint32(e >> 32) }

func tagOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

const minTableLen = 64

func newNameIndex(nameOf func(slot) string) nameIndex {
	return nameIndex{table: make([]tableEntry, minTableLen), nameOf: nameOf}
}

func (x *nameIndex) mask() uint32 { return uint32(len(x.table) - 1) }

// position returns the position of a name in the table, or that of the empty table entry where it would be added.
func (x *nameIndex) position(name string, tag uint32) uint32 {
	at := tag & x.mask()
	for x.table[at] != 0 && (x.table[at].tag() != tag || x.nameOf(x.table[at].slot()) != name) {
		at = (at + 1) & x.mask()
	}
	return at
}

func (x *nameIndex) find(name string) (slot, bool) {
	found := x.table[x.position(name, tagOf(name))]
	return found.slot(), found != 0
}

// add adds a slot. Its name must not be in the index yet.
func (x *nameIndex) add(at slot) {
	if 4*(x.count+1) > 3*len(x.table) {
		x.grow()
	}
	x.insert(newTableEntry(at, tagOf(x.nameOf(at))))
	x.count++
}

// insert stores a table entry at the first free position from its hash on. Its name must not be in the index yet.
func (x *nameIndex) insert(e tableEntry) {
	at := e.tag() & x.mask()
	for x.table[at] != 0 {
		at = (at + 1) & x.mask()
	}
	x.table[at] = e
}

func (x *nameIndex) grow() {
	old := x.table
	x.table = make([]tableEntry, 2*len(old))
	for _, each := range old {
		if each != 0 {
			x.insert(each)
		}
	}
}

// delete removes a name, and moves back the table entries after it that linear probing would no longer find past the gap.
func (x *nameIndex) delete(name string) {
	gap := x.position(name, tagOf(name))
	if x.table[gap] == 0 {
		return
	}
	x.count--
	for at := (gap + 1) & x.mask(); x.table[at] != 0; at = (at + 1) & x.mask() {
		home := x.table[at].tag() & x.mask()
		if (at-home)&x.mask() >= (at-gap)&x.mask() { // probing from its hash position passes the gap
			x.table[gap] = x.table[at]
			gap = at
		}
	}
	x.table[gap] = 0
}
