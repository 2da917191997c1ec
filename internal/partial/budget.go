package partial

import "time"

// budget is a token bucket of bytes. Its level is negative after lookups that cost more than was deducted for them in advance.
type budget struct {
	rate, burst float64 // bytes per second, and the bucket's size in bytes
	tokens      float64
	refilledAt  time.Duration
}

func (b *budget) refill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now-b.refilledAt).Seconds())
	b.refilledAt = max(b.refilledAt, now)
}

// spend deducts bytes, or returns them if the number is negative.
func (b *budget) spend(now time.Duration, bytes float64) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens-bytes)
}

// delay returns how long it takes until a number of bytes may be spent. The bucket never holds more than the burst, so a full bucket is enough for any number.
func (b *budget) delay(now time.Duration, bytes float64) time.Duration {
	b.refill(now)
	shortfall := min(bytes, b.burst) - b.tokens
	if shortfall <= 0 {
		return 0
	}
	return time.Duration(shortfall/b.rate*float64(time.Second)) + 1
}

// missingCache remembers for a short time which destinations do not exist. It drops the oldest entry when it is full.
type missingCache struct {
	expiry map[int]time.Duration
	order  []int // oldest first; the entries may have expired
}

func (m *missingCache) has(now time.Duration, number int) bool {
	expiry, found := m.expiry[number]
	return found && now < expiry
}

func (m *missingCache) add(now time.Duration, number int, l *Limits) {
	if l.MaxMissing <= 0 {
		return
	}
	if _, found := m.expiry[number]; !found {
		if len(m.order) >= l.MaxMissing {
			delete(m.expiry, m.order[0])
			m.order = m.order[1:]
		}
		m.order = append(m.order, number)
	}
	m.expiry[number] = now + l.MissingTTL
}
