package ownership

// Tracker keeps the partitions of one member as the members change, and looks only at those whose owners a change can touch. What it
// returns is what Layout.Owned would. It is not safe for use by several goroutines.
type Tracker struct {
	layout  Layout
	self    member
	members *Members // nil: none yet
	owned   Set
}

// maxLeftShare is the part of the members that may have left for their ranks to be looked at one by one: beyond it all is worked out anew.
const maxLeftShare = 0.02

// NewTracker makes a Tracker for a member.
func NewTracker(l Layout, self string) *Tracker {
	return &Tracker{layout: l, self: newMember(self)}
}

// Update is the partitions that the member owns among the members as they are now.
func (t *Tracker) Update(names []string) Set {
	before, next := t.members, t.layout.Members(names)
	t.members = next
	if before == nil {
		t.owned = next.OwnedPartitions(t.self.name)
		return t.owned
	}
	joined, left := changedMembers(before.members, next.members)
	switch {
	case float64(len(left)) > maxLeftShare*float64(len(before.members)):
		t.owned = next.OwnedPartitions(t.self.name)
	case len(left) > 0:
		t.owned = t.ownedAfterLeaving(next, joined, left)
	case len(joined) > 0:
		t.owned = t.stillOwned(next)
	}
	return t.owned
}

// stillOwned is what is left of the present part: a member that joins takes partitions, and gives none.
func (t *Tracker) stillOwned(next *Members) Set {
	var kept []Partition
	for p := range t.owned.All() {
		if next.owns(t.self, p) {
			kept = append(kept, p)
		}
	}
	return Set{numbers: kept}
}

// ownedAfterLeaving is the part after members have left: a partition is new only where one of them had outranked this member.
func (t *Tracker) ownedAfterLeaving(next *Members, joined, left []member) Set {
	var owned []Partition
	former := t.owned.numbers
	for p := range Partition(t.layout.Partitions) {
		isOwned := len(former) > 0 && former[0] == p
		if isOwned {
			former = former[1:]
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

// isOutrankedBy reports whether one of some members has a higher weight for a partition.
func (t *Tracker) isOutrankedBy(members []member, p Partition) bool {
	own := weight(t.self.hash, p)
	for i := range members {
		theirs := weight(members[i].hash, p)
		if theirs > own || theirs == own && members[i].name < t.self.name {
			return true
		}
	}
	return false
}

// changedMembers compares two lists in their order.
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
