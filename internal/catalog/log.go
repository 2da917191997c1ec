package catalog

import "sort"

// changeEntry records that an endpoint of a destination has changed. The store has its present state.
type changeEntry struct {
	name  string
	group uint32
}

// changeLog holds the last changes in order. The position of a change is the number of changes before it since the last reset.
type changeLog struct {
	changes     []changeEntry // ring buffer: a change is at its position modulo capacity
	capacity    int
	endPosition uint64      // position of the next change
	indexMarks  []indexMark // in ascending order
}

// indexMark maps an index of the list to the end of the log at that index.
type indexMark struct {
	index int64
	end   uint64
}

func newChangeLog(capacity int) changeLog { return changeLog{capacity: capacity} }

// firstPosition returns the position of the oldest change that the log still has.
func (l *changeLog) firstPosition() uint64 { return l.endPosition - uint64(len(l.changes)) }

func (l *changeLog) add(c changeEntry) {
	if l.capacity == 0 {
		l.endPosition++
		return
	}
	if len(l.changes) < l.capacity {
		l.changes = append(l.changes, c)
	} else {
		l.changes[l.endPosition%uint64(l.capacity)] = c
	}
	l.endPosition++
}

func (l *changeLog) entryAt(position uint64) changeEntry {
	return l.changes[position%uint64(l.capacity)]
}

// reset empties the log for a new list with the given index.
func (l *changeLog) reset(index int64) {
	l.changes, l.endPosition = nil, 0
	l.indexMarks = []indexMark{{index: index}}
}

// committedEnd returns the position after the last change that the list's index includes.
func (l *changeLog) committedEnd() uint64 { return l.indexMarks[len(l.indexMarks)-1].end }

// commit assigns an index, which must be greater than the last one, to the changes since the last commit, and returns their destinations.
func (l *changeLog) commit(index int64) ChangedDestinations {
	since := l.committedEnd()
	if l.endPosition == since {
		return ChangedDestinations{}
	}
	l.indexMarks = append(l.indexMarks, indexMark{index: index, end: l.endPosition})
	firstKept := sort.Search(len(l.indexMarks)-1, func(i int) bool { return l.indexMarks[i].end >= l.firstPosition() })
	l.indexMarks = append(l.indexMarks[:0], l.indexMarks[firstKept:]...)
	if since < l.firstPosition() {
		return ChangedDestinations{All: true}
	}
	changed := ChangedDestinations{Destinations: make([]uint32, 0, l.endPosition-since)}
	for position := since; position < l.endPosition; position++ {
		changed.Destinations = append(changed.Destinations, l.entryAt(position).group)
	}
	return changed
}

// rangeSince returns the positions of the changes after an index; known is false if the log does not have all of them.
func (l *changeLog) rangeSince(index int64) (begin, end uint64, known bool) {
	after := sort.Search(len(l.indexMarks), func(i int) bool { return l.indexMarks[i].index > index })
	if after == 0 {
		return 0, 0, false
	}
	begin, end = l.indexMarks[after-1].end, l.committedEnd()
	return begin, end, begin >= l.firstPosition() || begin == end
}
