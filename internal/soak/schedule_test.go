package soak

import (
	"slices"
	"testing"
)

// TestSeedDrawsOneRun draws the same faults for a seed each time, all kinds among many seeds, and nothing beyond the shape.
func TestSeedDrawsOneRun(t *testing.T) {
	shape := DefaultShape()
	drawn := map[Kind]bool{}
	for seed := range uint64(200) {
		list := Draw(shape, seed)
		if !slices.Equal(list, Draw(shape, seed)) {
			t.Fatalf("seed %d draws two runs", seed)
		}
		for _, f := range list {
			drawn[f.Kind] = true
			if f.Node >= shape.Forwarders || f.Place >= shape.Destinations*shape.Endpoints || f.At < 0 || f.At > shape.Length+maxLast*2 {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
	if len(drawn) != len(Kinds()) {
		t.Errorf("%d of %d kinds drawn", len(drawn), len(Kinds()))
	}
}
