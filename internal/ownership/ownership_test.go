package ownership

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func memberNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("forwarder-%04d", i)
	}
	return names
}

func TestLayoutValidate(t *testing.T) {
	for _, l := range []Layout{{1, 1}, {1 << 21, 3}, {MaxPartitions, MaxReplicas}} {
		if err := l.Validate(); err != nil {
			t.Errorf("%+v: %v", l, err)
		}
	}
	for _, l := range []Layout{{}, {3, 1}, {-4, 1}, {2 * MaxPartitions, 1}, {4, 0}, {4, MaxReplicas + 1}} {
		if l.Validate() == nil {
			t.Errorf("%+v is accepted", l)
		}
	}
}

// TestOwners checks that owners depend only on the set of members, that OwnedPartitions agrees with Owners, and that only the partitions of a member that leaves
// change owners.
func TestOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layout := Layout{Partitions: 1 << rapid.IntRange(0, 7).Draw(t, "log partitions"), Replicas: rapid.IntRange(1, 4).Draw(t, "replicas")}
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 12, -1), 1, 12, rapid.ID[string]).Draw(t, "members")
		shuffled := append(rapid.Permutation(members).Draw(t, "shuffled"), members[0])
		leaver := rapid.SampledFrom(members).Draw(t, "leaver")
		rest := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return name == leaver })
		for p := range Partition(layout.Partitions) {
			owners := layout.Owners(p, members)
			if len(owners) != min(layout.Replicas, len(members)) {
				t.Fatalf("partition %d has owners %q among members %q", p, owners, members)
			}
			if other := layout.Owners(p, shuffled); !slices.Equal(owners, other) {
				t.Fatalf("partition %d has owners %q for one order of the members, %q for another", p, owners, other)
			}
			for _, name := range members {
				if owned := layout.Members(shuffled).owns(newMember(name), p); owned != slices.Contains(owners, name) {
					t.Fatalf("partition %d: owns(%q) is %t, but the owners are %q", p, name, owned, owners)
				}
			}
			after := layout.Owners(p, rest)
			// While only some members know that one has left, each other owner by the longer list must also be an owner by the shorter list.
			for _, name := range owners {
				if name != leaver && !layout.Members(rest).owns(newMember(name), p) {
					t.Fatalf("partition %d: %q is an owner only as long as %q is a member", p, name, leaver)
				}
			}
			kept := slices.DeleteFunc(slices.Clone(owners), func(name string) bool { return name == leaver })
			if !slices.Equal(after[:min(len(kept), len(after))], kept) || len(kept) == len(owners) && !slices.Equal(after, owners) {
				t.Fatalf("partition %d: owners are %q, but %q after %q has left", p, owners, after, leaver)
			}
		}
		if without, with := layout.OwnedPartitions(leaver, rest), layout.OwnedPartitions(leaver, members); !without.Equal(with) {
			t.Fatalf("the owned partitions of %q depend on whether the list contains it", leaver)
		}
	})
}

// TestEqualHashes checks that the name decides between two members with the same weight, both in Owners and in owns.
func TestEqualHashes(t *testing.T) {
	layout := Layout{Partitions: 4, Replicas: 1}
	m := &Members{layout: layout, members: []member{{7, "a"}, {7, "b"}}, hashes: []uint64{7, 7}}
	for p := range Partition(4) {
		if got := m.Owners(p); !slices.Equal(got, []string{"a"}) || !m.owns(member{7, "a"}, p) || m.owns(member{7, "b"}, p) {
			t.Errorf("partition %d: owners %q", p, got)
		}
	}
}

// partSizes computes how many destinations each member of a fleet owns, and returns the ratio of the largest number to the mean, and the mean.
func partSizes(layout Layout, members, destinations int) (maxOverMean, mean float64) {
	perPartition := make([]int, layout.Partitions)
	for d := range destinations {
		perPartition[layout.PartitionOf(d)]++
	}
	prepared, parts := layout.Members(memberNames(members)), map[string]int{}
	for p, n := range perPartition {
		for _, owner := range prepared.Owners(Partition(p)) {
			parts[owner] += n
		}
	}
	largest := 0
	for _, n := range parts {
		largest = max(largest, n)
	}
	mean = float64(destinations*layout.Replicas) / float64(members)
	return float64(largest) / mean, mean
}

// TestEvenness checks that no member owns more than 1.25 times the mean number of destinations. Its fleet has a thirty-fourth of the size of the planned one, with
// as many destinations per member. BenchmarkEvenness measures the planned fleet.
func TestEvenness(t *testing.T) {
	ratio, mean := partSizes(Layout{Partitions: 1 << 16, Replicas: 3}, 200, 64_700)
	if ratio > 1.25 {
		t.Errorf("the largest part is %.3f times the mean %.0f", ratio, mean)
	}
	t.Logf("the largest part is %.3f times the mean %.0f", ratio, mean)
}

// TestLeavingMovesOnlyOwnedPartitions checks that after a member has left, as many owners are new, over all partitions, as the member owned partitions.
func TestLeavingMovesOnlyOwnedPartitions(t *testing.T) {
	layout, members := Layout{Partitions: 1 << 12, Replicas: 3}, memberNames(50)
	before, after := layout.Members(members), layout.Members(members[1:])
	gained := 0
	for p := range Partition(layout.Partitions) {
		was := before.Owners(p)
		for _, owner := range after.Owners(p) {
			if !slices.Contains(was, owner) {
				gained++
			}
		}
	}
	if own := before.OwnedPartitions(members[0]).Len(); gained != own {
		t.Errorf("%d owner assignments are new, but the member that left owned %d partitions", gained, own)
	}
}

// TestSetOperations checks that ParseSet restores a set from its text, and that the set operations agree with searches in plain slices.
func TestSetOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOf(rapid.OneOf(rapid.Uint32Range(0, 40), rapid.Uint32())).Draw(t, "numbers")
		others := rapid.SliceOf(rapid.Uint32Range(0, 40)).Draw(t, "others")
		a, b := NewSet(numbers...), NewSet(others...)
		back, err := ParseSet(a.String(), a.Len(), math.MaxUint32+1)
		if err != nil || !back.Equal(a) {
			t.Fatalf("%v was parsed from its text as %v: %v", a.numbers, back.numbers, err)
		}
		for _, number := range append(slices.Clone(numbers), others...) {
			inA, inB := slices.Contains(numbers, number), slices.Contains(others, number)
			if a.Contains(number) != inA || !a.Union(b).Contains(number) || a.Difference(b).Contains(number) != (inA && !inB) {
				t.Fatalf("wrong result of Contains, Union or Difference for number %d", number)
			}
		}
		first, rest := a.Split(len(others))
		if first.Len() != min(len(others), a.Len()) || !first.Union(rest).Equal(a) || first.Difference(rest).Len() != first.Len() {
			t.Fatalf("%v is split into %v and %v", a.numbers, first.numbers, rest.numbers)
		}
		if a.Union(b).Len() != a.Difference(b).Len()+b.Len() {
			t.Fatalf("wrong size of the union or the difference of %v and %v", a.numbers, b.numbers)
		}
	})
}

func TestParseSetErrors(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		most  int
		limit uint64
		err   string
	}{
		"too many numbers":      {NewSet(1, 2, 3).String(), 2, 10, "more than 2"},
		"too long a text":       {strings.Repeat("A", 1000), 2, 10, "at most 2 numbers"},
		"a number too large":    {NewSet(1, 10).String(), 5, 10, "beyond 9"},
		"over 32 bits":          {"gICAgBA", 5, math.MaxUint64, "beyond 4294967295"},
		"over 64 bits":          {"______________8", 5, math.MaxUint64, "too large"},
		"a number twice":        {"AQA", 5, 10, "twice"},
		"cut off":               {"gA", 5, 10, "cut off"},
		"longer than need be":   {"gQA", 5, 10, "longer than"},
		"padding":               {"AQ==", 5, 10, "base64url"},
		"bits after the end":    {"AR", 5, 10, "base64url"},
		"a line break":          {"AQ\nEB", 5, 10, "line break"},
		"the other alphabet":    {"/+8B", 5, 1000, "base64url"},
		"empty set, limit zero": {"", 0, 0, ""},
	} {
		_, err := ParseSet(c.text, c.most, c.limit)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzParseSet(f *testing.F) {
	f.Add("")
	f.Add(NewSet(0, 1, 500, math.MaxUint32).String())
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := ParseSet(text, 100, 1<<20); err == nil && (s.String() != text || s.Len() > 100) {
			t.Errorf("%q is parsed as %v", text, s.numbers)
		}
	})
}

// TestStableAcrossBuilds checks fixed values: processes of different builds work together, so partitions, owners, texts and digests must never change.
func TestStableAcrossBuilds(t *testing.T) {
	layout := Layout{Partitions: 1 << 21, Replicas: 3}
	set := NewSet(3, 200, 2_000_000)
	got := fmt.Sprintln(layout.PartitionOf(0), layout.PartitionOf(2_199_999), layout.Owners(12345, memberNames(6)), set, layout.Digest(set))
	const want = `1776571 1297840 [forwarder-0005 forwarder-0001 forwarder-0002] A8UBuId6 d098c13de6c050fe`
	if got != want+"\n" {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

func BenchmarkOwnedPartitions(b *testing.B) {
	layout, members := Layout{Partitions: 1 << 21, Replicas: 3}, memberNames(6800)
	for b.Loop() {
		layout.OwnedPartitions(members[17], members)
	}
}

// BenchmarkEvenness measures the planned fleet; one iteration takes about 20 s.
func BenchmarkEvenness(b *testing.B) {
	for b.Loop() {
		ratio, mean := partSizes(Layout{Partitions: 1 << 21, Replicas: 3}, 6800, 2_200_000)
		b.ReportMetric(ratio, "max/mean")
		b.ReportMetric(mean, "destinations/part")
	}
}
