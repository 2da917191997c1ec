package decide

// inFlightList is a doubly linked list of the calls in flight in the order sent.
type inFlightList struct {
	first, last *call
	size        int
}

func (l *inFlightList) push(c *call) {
	c.prev = l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.size++
}

func (l *inFlightList) remove(c *call) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.prev, c.next = nil, nil
	l.size--
}
