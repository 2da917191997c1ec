package catalog

import (
	"fmt"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// slot is the number of the record that holds an entry. An entry keeps its slot until it is deleted.
type slot uint32

// noSlot marks the end of a chain.
const noSlot slot = 1<<32 - 1

// record is the stored form of an entry: 56 bytes, and the text.
type record struct {
	text       string // name and address; empty: the slot is free
	weight     float64
	since      agent.UnixMilli
	group      uint32
	next, prev slot // in the chain of the partition's records; for a free slot, next is the next free one
	nameLen    uint16
	zone, kind uint16
	status     uint8
}

func (r *record) used() bool      { return r.text != "" }
func (r *record) name() string    { return r.text[:r.nameLen] }
func (r *record) address() string { return r.text[r.nameLen:] }

// pageLen is the number of records in one allocation. Pages avoid copying all records when the list grows.
const pageLen = 4096

// store holds the entries as records in pages. A chain links the records of each partition, and an index finds a record by name.
type store struct {
	layout           ownership.Layout
	pages            [][]record
	end              slot // number of slots that were ever used
	firstFree        slot // head of the chain of free slots below end
	byName           nameIndex
	firstInPartition []slot // head of each partition's chain
	zones, kinds     stringTable
	statuses         stringTable
}

func newStore(layout ownership.Layout) *store {
	s := &store{layout: layout, firstFree: noSlot, firstInPartition: make([]slot, layout.Partitions)}
	s.byName = newNameIndex(func(at slot) string { return s.at(at).name() })
	for p := range s.firstInPartition {
		s.firstInPartition[p] = noSlot
	}
	s.zones, s.kinds, s.statuses = newStringTable("zones"), newStringTable("types"), newStringTable("states")
	return s
}

func (s *store) len() int { return s.byName.count }

// slots returns the number of slots that were ever used; they start at 0.
func (s *store) slots() slot { return s.end }

func (s *store) at(at slot) *record { return &s.pages[at/pageLen][at%pageLen] }

func (s *store) find(name string) (slot, bool) { return s.byName.find(name) }

func (s *store) endpoint(at slot) agent.Endpoint {
	r := s.at(at)
	return agent.Endpoint{Name: r.name(), Address: r.address(), Zone: s.zones.text(r.zone), Type: s.kinds.text(r.kind), Group: int(r.group),
		Status: s.statuses.text(uint16(r.status)), Weight: r.weight, SinceMS: r.since}
}

// newRecord converts an entry to a record, which is in no chain yet.
func (s *store) newRecord(e agent.Endpoint) (record, error) {
	zone, err := s.zones.numberOf(e.Zone)
	if err != nil {
		return record{}, err
	}
	kind, err := s.kinds.numberOf(e.Type)
	if err != nil {
		return record{}, err
	}
	status, err := s.statuses.numberOf(e.Status)
	if err != nil {
		return record{}, err
	}
	return record{text: e.Name + e.Address, nameLen: uint16(len(e.Name)), weight: e.Weight, since: e.SinceMS, group: uint32(e.Group),
		zone: zone, kind: kind, status: uint8(status), next: noSlot, prev: noSlot}, nil
}

func (s *store) add(e agent.Endpoint) (slot, error) {
	packed, err := s.newRecord(e)
	if err != nil {
		return 0, err
	}
	at := s.allocateSlot()
	*s.at(at) = packed
	s.byName.add(at)
	s.link(at)
	return at, nil
}

func (s *store) allocateSlot() slot {
	if at := s.firstFree; at != noSlot {
		s.firstFree = s.at(at).next
		return at
	}
	if int(s.end) == len(s.pages)*pageLen {
		s.pages = append(s.pages, make([]record, pageLen))
	}
	s.end++
	return s.end - 1
}

func (s *store) replace(at slot, e agent.Endpoint) error {
	packed, err := s.newRecord(e)
	if err != nil {
		return err
	}
	s.unlink(at)
	r := s.at(at)
	if packed.text == r.text { // keep the former string: the log may refer to a part of it, and a second copy would take more memory
		packed.text = r.text
	}
	*r = packed
	s.link(at)
	return nil
}

func (s *store) delete(at slot) {
	s.unlink(at)
	r := s.at(at)
	s.byName.delete(r.name())
	*r = record{next: s.firstFree}
	s.firstFree = at
}

// link inserts a record at the head of its partition's chain.
func (s *store) link(at slot) {
	r := s.at(at)
	head := &s.firstInPartition[s.layout.PartitionOf(int(r.group))]
	if r.next = *head; r.next != noSlot {
		s.at(r.next).prev = at
	}
	r.prev, *head = noSlot, at
}

func (s *store) unlink(at slot) {
	r := s.at(at)
	if r.next != noSlot {
		s.at(r.next).prev = r.prev
	}
	if r.prev != noSlot {
		s.at(r.prev).next = r.next
	} else {
		s.firstInPartition[s.layout.PartitionOf(int(r.group))] = r.next
	}
}

// stringTable stores strings that occur in many entries, each once, and never removes one.
type stringTable struct {
	what    string
	numbers map[string]uint16
	texts   []string
}

// Limits of a stringTable: the number of different strings, and the length of one in bytes.
const (
	maxStrings   = 4096
	maxStringLen = 256
)

func newStringTable(what string) stringTable {
	return stringTable{what: what, numbers: map[string]uint16{}}
}

func (n *stringTable) text(number uint16) string { return n.texts[number] }

func (n *stringTable) numberOf(text string) (uint16, error) {
	if number, known := n.numbers[text]; known {
		return number, nil
	}
	if len(n.texts) == maxStrings || len(text) > maxStringLen {
		return 0, fmt.Errorf("%.40q: at most %d different %s of up to %d bytes each are stored", text, maxStrings, n.what, maxStringLen)
	}
	copied := string(append([]byte(nil), text...)) // a substring would keep a larger string in memory
	n.numbers[copied] = uint16(len(n.texts))
	n.texts = append(n.texts, copied)
	return n.numbers[copied], nil
}

// bitmap is a set of slots.
type bitmap []uint64

func (b *bitmap) set(at slot) {
	word := int(at / 64)
	for len(*b) <= word {
		*b = append(*b, 0)
	}
	(*b)[word] |= 1 << (at % 64)
}

func (b bitmap) has(at slot) bool {
	word := int(at / 64)
	return word < len(b) && b[word]>>(at%64)&1 != 0
}
