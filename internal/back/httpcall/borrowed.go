package httpcall

// SetBorrowed sets how many connections may be open beyond MaxConnections, for as long as nobody else needs their descriptors. Before it returns, idle
// connections beyond that are closed. Calls in flight are not: their caller bounds them by MaxConnections.
func (b *Back) SetBorrowed(count int) {
	p := b.pool
	for _, c := range p.setBorrowed(count) {
		p.closeDisplaced(c)
	}
}

// setBorrowed sets the number of borrowed connections, and removes and returns the idle ones beyond it.
func (p *pool) setBorrowed(count int) (excess []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowed = count
	for open := p.openConns; open > p.maxConns+p.borrowed && p.idle.first != nil; open-- {
		excess = append(excess, p.removeIdle(p.leastUseful()))
	}
	return excess
}
