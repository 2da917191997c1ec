package ownership

// Tracker maintains the owned partitions of one member while the members change. It recomputes only those whose owners a change can affect. Its
// result equals that of Layout.OwnedPartitions. A Tracker is not safe for concurrent use.
type Tracker struct {
	layout  Layout
	self    member
	members *Members // nil: Update has not been called yet
	owned   Set
}

// maxIncrementalLeft is the largest share of the members that may leave in one update for an incremental computation. If more leave, Update recomputes all
// partitions, since the incremental way compares this member's weight with that of each member that left.
const maxIncrementalLeft = 0.02

// NewTracker creates a Tracker for the member self.
func NewTracker(l Layout, self string) *Tracker {
	return &Tracker{layout: l, self: newMember(self)}
}

// Update replaces the list of members and returns the partitions that the tracked member owns.
func (t *Tracker) Update(names []string) Set {
	before, next := t.members, t.layout.Members(names)
	t.members = next
	if before == nil {
		t.owned = next.OwnedPartitions(t.self.name)
		return t.owned
	}
	joined, left := changedMembers(before.members, next.members)
	switch {
	case float64(len(left)) > maxIncrementalLeft*float64(len(before.members)):
		t.owned = next.OwnedPartitions(t.self.name)
	case len(left) > 0:
		t.owned = t.ownedAfterLeaving(next, joined, left)
	case len(joined) > 0:
		t.owned = t.ownedAfterJoining(next)
	}
	return t.owned
}

// ownedAfterJoining returns the partitions that the member still owns after others have joined. A member that joins can only take partitions from it.
func (t *Tracker) ownedAfterJoining(next *Members) Set {
	var kept []Partition
	for p := range t.owned.All() {
		if next.owns(t.self, p) {
			kept = append(kept, p)
		}
	}
	return Set{numbers: kept}
}

// ownedAfterLeaving returns the owned partitions after members have left and others may have joined. The member can gain a partition only if a member that left
// had outranked it there.
func (t *Tracker) ownedAfterLeaving(next *Members, joined, left []member) Set {
	var owned []Partition
	previous := t.owned.numbers
	for p := range Partition(t.layout.Partitions) {
		isOwned := len(previous) > 0 && previous[0] == p
		if isOwned {
			previous = previous[1:]
		}
		switch {
		case isOwned && len(joined) == 0:
			owned = append(owned, p)
		case isOwned || t.isOutrankedBy(left, p):
			if next.owns(t.self, p) {
				owned = append(owned, p)
			}
		}
	}
	return Set{numbers: owned}
}

// isOutrankedBy reports whether at least one of the given members outranks the tracked member for a partition.
func (t *Tracker) isOutrankedBy(members []member, p Partition) bool {
	selfWeight := weight(t.self.hash, p)
	for i := range members {
		otherWeight := weight(members[i].hash, p)
		if otherWeight > selfWeight || otherWeight == selfWeight && members[i].name < t.self.name {
			return true
		}
	}
	return false
}

// changedMembers compares two sorted lists and returns the members that only one of them has.
func changedMembers(before, next []member) (joined, left []member) {
	for len(before) > 0 || len(next) > 0 {
		switch {
		case len(before) == 0:
			return append(joined, next...), left
		case len(next) == 0:
			return joined, append(left, before...)
		}
		switch order := compareMembers(before[0], next[0]); {
		case order < 0:
			left, before = append(left, before[0]), before[1:]
		case order > 0:
			joined, next = append(joined, next[0]), next[1:]
		default:
			before, next = before[1:], next[1:]
		}
	}
	return joined, left
}
