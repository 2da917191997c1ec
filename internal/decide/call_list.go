package decide

// callList is the calls in flight in the order sent.
type callList struct {
	first, last *call
	size        int
}

func (l *callList) push(c *call) {
	c.prev = l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.size++
}

func (l *callList) remove(c *call) {
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
