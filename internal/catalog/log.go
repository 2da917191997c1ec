package catalog

import "sort"

// change is that an endpoint of a destination has changed; how it is now is in the store.
type change struct {
	name  string
	group uint32
}

// changeLog is the last changes, in order. Its places are counted from the first change ever.
type changeLog struct {
	changes []change // a ring, by place
	max     int
	end     uint64 // the place of the next change
	marks   []mark // ascending
}

// mark is how far the log had come when the list had an index.
type mark struct {
	index int64
	end   uint64
}

func newChangeLog(max int) changeLog { return changeLog{max: max} }

// first is the place of the oldest change that is kept.
func (l *changeLog) first() uint64 { return l.end - uint64(len(l.changes)) }

func (l *changeLog) add(c change) {
	if l.max == 0 {
		l.end++
		return
	}
	if len(l.changes) < l.max {
		l.changes = append(l.changes, c)
	} else {
		l.changes[l.end%uint64(l.max)] = c
	}
	l.end++
}

func (l *changeLog) at(place uint64) change { return l.changes[place%uint64(l.max)] }

// restart forgets everything: the list is a new one, with an index.
func (l *changeLog) restart(index int64) {
	l.changes, l.end = nil, 0
	l.marks = []mark{{index: index}}
}

// committed is the place behind the last change that the list's index includes.
func (l *changeLog) committed() uint64 { return l.marks[len(l.marks)-1].end }

// commit gives the changes since the last commit an index, and says which destinations they touch. It is greater than the last one.
func (l *changeLog) commit(index int64) ChangedDestinations {
	since := l.committed()
	if l.end == since {
		return ChangedDestinations{}
	}
	l.marks = append(l.marks, mark{index: index, end: l.end})
	forgotten := sort.Search(len(l.marks)-1, func(i int) bool { return l.marks[i].end >= l.first() })
	l.marks = append(l.marks[:0], l.marks[forgotten:]...)
	if since < l.first() {
		return ChangedDestinations{All: true}
	}
	touched := ChangedDestinations{Destinations: make([]uint32, 0, l.end-since)}
	for place := since; place < l.end; place++ {
		touched.Destinations = append(touched.Destinations, l.at(place).group)
	}
	return touched
}

// since is the span of the changes after an index.
func (l *changeLog) since(index int64) (begin, end uint64, known bool) {
	after := sort.Search(len(l.marks), func(i int) bool { return l.marks[i].index > index })
	if after == 0 {
		return 0, 0, false
	}
	begin, end = l.marks[after-1].end, l.committed()
	return begin, end, begin >= l.first() || begin == end
}
