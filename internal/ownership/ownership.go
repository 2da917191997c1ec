// Package ownership determines which members of a fleet own which destinations, by rendezvous hashing over a fixed number of partitions.
//
// The result depends on the list of members alone, so that processes which know the same members agree without communicating, and a member that leaves
// causes only the partitions that it owned to move. The package does no I/O. docs/ownership.md explains the design.
package ownership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPartitions is the largest number of partitions that a layout may have.
	MaxPartitions = 1 << 24
	// MaxReplicas is the largest number of owners that a partition may have.
	MaxReplicas = 16
)

// Partition is the number of a partition, starting at 0.
type Partition = uint32

// Layout describes how the destinations of a fleet are split into partitions. It is the same for all members.
type Layout struct {
	Partitions int // a power of two
	Replicas   int // number of owners of each partition
}

// Validate returns an error if a number of the layout is out of range.
func (l Layout) Validate() error {
	if l.Partitions < 1 || l.Partitions > MaxPartitions || bits.OnesCount(uint(l.Partitions)) != 1 {
		return fmt.Errorf("partitions %d: a power of two from 1 to %d", l.Partitions, MaxPartitions)
	}
	if l.Replicas < 1 || l.Replicas > MaxReplicas {
		return fmt.Errorf("replicas %d: from 1 to %d", l.Replicas, MaxReplicas)
	}
	return nil
}

// PartitionOf returns the partition of a destination: the xxHash of its number as eight little-endian bytes, modulo the number of partitions.
func (l Layout) PartitionOf(destination int) Partition {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], uint64(destination))
	return Partition(xxhash.Sum64(encoded[:]) & uint64(l.Partitions-1))
}

// Owners returns the owners of a partition, the one with the highest weight first. There are fewer than Replicas if there are fewer members. The order of
// members and duplicate names make no difference.
func (l Layout) Owners(p Partition, members []string) []string {
	return l.Members(members).Owners(p)
}

// OwnedPartitions returns the partitions that self owns. It counts as a member even if the list lacks it.
func (l Layout) OwnedPartitions(self string, members []string) Set {
	return l.Members(members).OwnedPartitions(self)
}

// Members is a list of members, hashed and sorted once for many queries.
type Members struct {
	layout  Layout
	members []member // sorted by hash, then name; no duplicates
	hashes  []uint64 // hashes of members, stored contiguously for the loop that visits all of them for each partition
}

type member struct {
	hash uint64
	name string
}

// Members prepares a list of members for queries.
func (l Layout) Members(names []string) *Members {
	m := &Members{layout: l, members: make([]member, len(names))}
	for i, name := range names {
		m.members[i] = newMember(name)
	}
	slices.SortFunc(m.members, compareMembers)
	m.members = slices.Compact(m.members)
	m.hashes = make([]uint64, len(m.members))
	for i, each := range m.members {
		m.hashes[i] = each.hash
	}
	return m
}

func newMember(name string) member { return member{hash: xxhash.Sum64String(name), name: name} }

func compareMembers(a, b member) int {
	if order := cmp.Compare(a.hash, b.hash); order != 0 {
		return order
	}
	return cmp.Compare(a.name, b.name)
}

// candidate is a member and its weight for one partition.
type candidate struct {
	weight uint64
	member
}

// outranks reports whether a candidate comes before another one: the higher weight first, and among equal weights the smaller name.
func (c candidate) outranks(other candidate) bool {
	return c.weight > other.weight || c.weight == other.weight && c.name < other.name
}

// Owners returns the owners of a partition, the one with the highest weight first.
func (m *Members) Owners(p Partition) []string {
	best := make([]candidate, 0, m.layout.Replicas+1)
	for i, hash := range m.hashes {
		memberWeight := weight(hash, p)
		if len(best) == m.layout.Replicas && memberWeight < best[len(best)-1].weight {
			continue
		}
		next := candidate{weight: memberWeight, member: m.members[i]}
		if len(best) == m.layout.Replicas && !next.outranks(best[len(best)-1]) {
			continue
		}
		position := len(best)
		for position > 0 && next.outranks(best[position-1]) {
			position--
		}
		best = slices.Insert(best, position, next)
		best = best[:min(len(best), m.layout.Replicas)]
	}
	names := make([]string, len(best))
	for i, owner := range best {
		names[i] = owner.name
	}
	return names
}

// OwnedPartitions returns the partitions that a member owns, whether the list has it or not. Each partition takes about thirty hashes, however many members
// there are, since the loop stops at the Replicas-th member that outranks this one.
func (m *Members) OwnedPartitions(name string) Set {
	self := newMember(name)
	var owned []Partition
	for p := range Partition(m.layout.Partitions) {
		if m.owns(self, p) {
			owned = append(owned, p)
		}
	}
	return Set{numbers: owned}
}

// owns reports whether fewer than Replicas members outrank self for a partition.
func (m *Members) owns(self member, p Partition) bool {
	selfWeight := weight(self.hash, p)
	higherRanked := 0
	for i, hash := range m.hashes {
		otherWeight := weight(hash, p)
		if otherWeight < selfWeight {
			continue
		}
		if otherWeight == selfWeight && m.members[i].name >= self.name { // self, or a member with the same hash and a larger name
			continue
		}
		if higherRanked++; higherRanked == m.layout.Replicas {
			return false
		}
	}
	return true
}

// weight mixes a member's hash with a partition by the finalizer of SplitMix64, in which a change of any input bit flips each output bit with a probability of
// one half.
func weight(member uint64, p Partition) uint64 {
	const golden = 0x9e3779b97f4a7c15
	mixed := member + golden*(uint64(p)+1)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
