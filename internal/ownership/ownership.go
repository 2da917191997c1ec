// Package ownership says which members of a fleet own which destinations: rendezvous hashing over a fixed number of partitions.
//
// It is a function of the list of members alone, so that all who know the same members agree without talking to each other, and a member that
// leaves moves only the partitions that it owned. The package does no I/O. docs/ownership.md has the reasons.
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
	// MaxPartitions bounds the partitions of a layout.
	MaxPartitions = 1 << 24
	// MaxReplicas bounds the owners of a partition.
	MaxReplicas = 16
)

// Partition is the number of a partition, from 0 on.
type Partition = uint32

// Layout is how the destinations of a fleet are split. It is the same for all members.
type Layout struct {
	Partitions int // a power of two
	Replicas   int // owners of each partition
}

// Validate reports what is wrong with a layout.
func (l Layout) Validate() error {
	if l.Partitions < 1 || l.Partitions > MaxPartitions || bits.OnesCount(uint(l.Partitions)) != 1 {
		return fmt.Errorf("partitions %d: a power of two from 1 to %d", l.Partitions, MaxPartitions)
	}
	if l.Replicas < 1 || l.Replicas > MaxReplicas {
		return fmt.Errorf("replicas %d: from 1 to %d", l.Replicas, MaxReplicas)
	}
	return nil
}

// PartitionOf is the partition of a destination: the hash of its number in eight bytes, the lowest first.
func (l Layout) PartitionOf(destination int) Partition {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(destination))
	return Partition(xxhash.Sum64(number[:]) & uint64(l.Partitions-1))
}

// Owners are the owners of a partition, the one with the highest weight first; fewer than Replicas where there are fewer members. The order
// of members and names that occur twice make no difference.
func (l Layout) Owners(p Partition, members []string) []string {
	return l.Members(members).Owners(p)
}

// OwnedPartitions are the partitions that self owns. It is counted as a member whether it is among them or not.
func (l Layout) OwnedPartitions(self string, members []string) Set {
	return l.Members(members).OwnedPartitions(self)
}

// Members is a list of members made ready for many questions.
type Members struct {
	layout  Layout
	members []member // by hash, then name; each once
	hashes  []uint64 // theirs, side by side for the loop that goes over them for each partition
}

type member struct {
	hash uint64
	name string
}

// Members makes a list of members ready.
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

// candidate is a member with its weight for one partition.
type candidate struct {
	weight uint64
	member
}

// outranks is the order of candidates: by weight, and where that is the same by name.
func (c candidate) outranks(other candidate) bool {
	return c.weight > other.weight || c.weight == other.weight && c.name < other.name
}

// Owners are the owners of a partition, the one with the highest weight first.
func (m *Members) Owners(p Partition) []string {
	best := make([]candidate, 0, m.layout.Replicas+1)
	for i, hash := range m.hashes {
		own := weight(hash, p)
		if len(best) == m.layout.Replicas && own < best[len(best)-1].weight {
			continue
		}
		next := candidate{weight: own, member: m.members[i]}
		if len(best) == m.layout.Replicas && !next.outranks(best[len(best)-1]) {
			continue
		}
		at := len(best)
		for at > 0 && next.outranks(best[at-1]) {
			at--
		}
		best = slices.Insert(best, at, next)
		best = best[:min(len(best), m.layout.Replicas)]
	}
	names := make([]string, len(best))
	for i, owner := range best {
		names[i] = owner.name
	}
	return names
}

// OwnedPartitions are the partitions that a member owns, whether the list has it or not. Each partition takes some thirty hashes, however many members
// there are: it is decided by the first Replicas of them that outrank self.
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

func (m *Members) owns(self member, p Partition) bool {
	own := weight(self.hash, p)
	ahead := 0
	for i, hash := range m.hashes {
		theirs := weight(hash, p)
		if theirs < own {
			continue
		}
		if theirs == own && m.members[i].name >= self.name { // self, or one with the same hash that comes later
			continue
		}
		if ahead++; ahead == m.layout.Replicas {
			return false
		}
	}
	return true
}

// weight mixes a member's hash with a partition: the finalizer of SplitMix64, in which each bit of the input changes each bit of the
// outcome with a chance of a half.
func weight(member uint64, p Partition) uint64 {
	const golden = 0x9e3779b97f4a7c15
	mixed := member + golden*(uint64(p)+1)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
