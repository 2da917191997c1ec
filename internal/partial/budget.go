package partial

import "time"

// budget is a token bucket of bytes. What turned out dearer than it was paid for is a debt.
type budget struct {
	rate, burst float64 // bytes a second, and at once after a pause
	tokens      float64
	filled      time.Duration
}

func (b *budget) fill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now-b.filled).Seconds())
	b.filled = max(b.filled, now)
}

// spend takes bytes out, or puts some back.
func (b *budget) spend(now time.Duration, bytes float64) {
	b.fill(now)
	b.tokens = min(b.burst, b.tokens-bytes)
}

// delay is how long it takes until so many bytes may be spent. More than the burst are never there at once: then a full bucket counts as enough.
func (b *budget) delay(now time.Duration, bytes float64) time.Duration {
	b.fill(now)
	lack := min(bytes, b.burst) - b.tokens
	if lack <= 0 {
		return 0
	}
	return time.Duration(lack/b.rate*float64(time.Second)) + 1
}

// missing remembers destinations that do not exist, the newest of them, each for a short time.
type missing struct {
	until map[int]time.Duration
	order []int // the oldest first; some may have been forgotten
}

func (m *missing) has(now time.Duration, number int) bool {
	until, noted := m.until[number]
	return noted && now < until
}

func (m *missing) add(now time.Duration, number int, l *Limits) {
	if l.MaxMissing <= 0 {
		return
	}
	if _, noted := m.until[number]; !noted {
		if len(m.order) >= l.MaxMissing {
			delete(m.until, m.order[0])
			m.order = m.order[1:]
		}
		m.order = append(m.order, number)
	}
	m.until[number] = now + l.MissingTTL
}
