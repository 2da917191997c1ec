package ownership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestTrackerMatchesOwnedPartitions lets members join and leave, singly or many at a time, and checks that the Tracker's result equals a full computation.
func TestTrackerMatchesOwnedPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layout := Layout{Partitions: 1 << rapid.IntRange(0, 9).Draw(t, "partitions"), Replicas: rapid.IntRange(1, 4).Draw(t, "replicas")}
		tracker := NewTracker(layout, "m-0")
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("m-", rapid.IntRange(0, 40).Draw(t, "number")) })
		present := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			for _, toggled := range rapid.SliceOfN(name, 0, rapid.SampledFrom([]int{1, 2, 40}).Draw(t, "most")).Draw(t, "toggled") {
				present[toggled] = !present[toggled]
			}
			var names []string
			for each, isPresent := range present {
				if isPresent {
					names = append(names, each)
				}
			}
			got, want := tracker.Update(names), layout.OwnedPartitions("m-0", names)
			if !slices.Equal(got.numbers, want.numbers) {
				t.Fatalf("members %v: the Tracker returns %v, a full computation %v", names, got.numbers, want.numbers)
			}
		}
	})
}

// BenchmarkTrackerUpdate measures what one of 6,800 members spends on a change of the members, by the kind of change.
func BenchmarkTrackerUpdate(b *testing.B) {
	layout := Layout{Partitions: 1 << 21, Replicas: 3}
	names := make([]string, 6_800)
	for i := range names {
		names[i] = fmt.Sprint("forwarder-", i)
	}
	for name, changed := range map[string][]string{"joins": append(slices.Clone(names), "new"), "leaves": names[:6_799], "a zone leaves": names[:6_277]} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				tracker := NewTracker(layout, names[0])
				tracker.Update(names)
				b.StartTimer()
				tracker.Update(changed)
			}
		})
	}
	b.Run("full computation", func(b *testing.B) {
		for b.Loop() {
			layout.OwnedPartitions(names[0], names)
		}
	})
}
