package scale

import (
	"fmt"

	"scaleroute/internal/decide"
)

// Partial is how nodes with a scope are set.
type Partial struct {
	Replicas    int `json:"replicas"`
	Partitions  int `json:"partitions"`
	Cached      int `json:"cached"`
	LookupBytes int `json:"lookup_bytes"`
}

// startNode starts one node under a mechanism.
func startNode(s *Start, number int, settings decide.Settings) (*Node, error) {
	name := nodeName(number)
	switch s.Mechanism {
	case WholeList:
		return NewNode(name, settings, newWholeList(s.Addresses[0]))
	default:
		return nil, fmt.Errorf("mechanism %q is not known", s.Mechanism)
	}
}

// nodeName names a simulated node.
func nodeName(number int) string { return fmt.Sprintf("simulated-%05d", number) }
