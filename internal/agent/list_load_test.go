package agent

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// listService is a list service in virtual time that works on a number of calls a second, one after the other. It refuses a call at once if it could not answer
// it within its patience.
type listService struct {
	capacity  float64 // calls a second
	patience  time.Duration
	latency   time.Duration // of each answer, beside the wait
	refuses   int           // calls of each forwarder that it refuses at first
	busyUntil time.Duration
	calls     []time.Duration
	answered  int
}

// serve returns when a call that arrives now is over, and whether it is answered.
func (s *listService) serve(now time.Duration, callsBefore int) (over time.Duration, isAnswered bool) {
	s.calls = append(s.calls, now)
	s.busyUntil = max(s.busyUntil, now)
	end := s.busyUntil + time.Duration(float64(time.Second)/s.capacity)
	if callsBefore < s.refuses || end-now > s.patience {
		return now, false
	}
	s.busyUntil = end
	s.answered++
	return end + s.latency, true
}

// worstSecond returns the most calls in one second.
func (s *listService) worstSecond() (most int) {
	perSecond := map[int64]int{}
	for _, at := range s.calls {
		perSecond[int64(at/time.Second)]++
		most = max(most, perSecond[int64(at/time.Second)])
	}
	return most
}

// fleetMember is one forwarder in virtual time.
type fleetMember struct {
	policy *listPolicy
	wake   time.Duration
	calls  int
	ends   map[int]callEnd // of the calls in flight
	told   time.Duration   // 0: not yet
}

type callEnd struct {
	at         time.Duration
	isAnswered bool
}

// advance does what is due at a time.
func (m *fleetMember) advance(now time.Duration, service *listService) {
	for id, end := range m.ends {
		if now < end.at {
			continue
		}
		delete(m.ends, id)
		if end.isAnswered {
			m.told = now
			return
		}
		m.policy.failed(now, id, listRefused)
	}
	for {
		step := m.policy.advance(now)
		for _, id := range step.giveUp {
			delete(m.ends, id)
		}
		m.wake = step.wake
		if step.begin == nil {
			break
		}
		over, isAnswered := service.serve(now, m.calls)
		m.ends[step.begin.id] = callEnd{over, isAnswered}
		m.calls++
	}
	for _, end := range m.ends {
		m.wake = min(m.wake, max(end.at, now+1))
	}
}

// startFleet starts forwarders together whose list must be requested, and returns when each has a list.
func startFleet(forwarders int, service *listService, seed uint64) (told []time.Duration) {
	seeded := rand.New(rand.NewPCG(seed, uint64(forwarders)))
	var members []*fleetMember
	for range forwarders {
		own := rand.New(rand.NewPCG(seeded.Uint64(), seeded.Uint64()))
		fleet := Fleet{Forwarders: forwarders, MustSubscribe: true, ResubscribeInterval: 10 * time.Second, Random: own.Float64}
		members = append(members, &fleetMember{policy: newListPolicy(fleet, fleet.listTiming(), fleet.newListBackoff(), true), ends: map[int]callEnd{}})
	}
	for len(told) < forwarders {
		next := slices.MinFunc(members, func(a, b *fleetMember) int { return int(a.wake - b.wake) })
		now := next.wake
		if now > 10*time.Minute {
			break
		}
		if next.advance(now, service); next.told > 0 {
			told = append(told, next.told)
			next.wake = never
		}
	}
	return told
}

// TestFleetListLoad starts fleets whose list must be requested from a service of 20 calls a second that refuses what it can't answer, and checks that all have
// their list, without more than the calls that the limit of 6 s for each asks for. 30 and 90 are fleets of 300 and 900 of which one in ten asks. With -v it
// prints the table of docs/list-calls.md.
func TestFleetListLoad(t *testing.T) {
	const capacity = 20
	for _, forwarders := range []int{30, 60, 90, 300, 900} {
		for _, refusals := range []int{0, 4, 40} {
			for _, latency := range []time.Duration{0, time.Second, 3 * time.Second} {
				name := fmt.Sprintf("%d forwarders, %d refusals each, answers of %v", forwarders, refusals, latency)
				service := &listService{capacity: capacity, patience: 2 * time.Second, latency: latency, refuses: refusals}
				told := startFleet(forwarders, service, 1)
				if len(told) < forwarders {
					t.Errorf("%s: %d have a list after ten minutes", name, len(told))
					continue
				}
				last := told[forwarders-1]
				mean := float64(len(service.calls)) / last.Seconds()
				t.Logf("| %d | %d | %.1f s | %.0f | %d | %.1f s | %.1f s | %.1f s |", forwarders, refusals, latency.Seconds(), mean, service.worstSecond(), told[0].Seconds(), told[forwarders/2].Seconds(), last.Seconds())
				if most := float64(forwarders) / (maxRetryInterval / 2).Seconds(); mean > most+capacity {
					t.Errorf("%s: %.0f calls a second", name, mean)
				}
				work := time.Duration(forwarders) * time.Second / capacity
				if allowed := time.Duration(refusals+3)*maxRetryInterval + 2*work + latency; last > allowed {
					t.Errorf("%s: the last has a list after %v, later than %v", name, last, allowed)
				}
			}
		}
	}
}
