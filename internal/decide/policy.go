package decide

import "time"

const (
	recentWindow   = 10 * time.Second // time over which counts of attempts and outcomes decay
	forgetAfter    = 60 * time.Second // an unused route is reset after it; shares of losses decay over it
	adjustInterval = time.Second
	assumedLatency = 400 * time.Millisecond // until one is measured
)

// Step takes the clock and the events since the last Step, and returns the actions to carry out, in order.
func (f *Forwarder) Step(now time.Duration, events []Event) []Action {
	f.now = max(f.now, now)
	if f.startedAt == never {
		f.startedAt = f.now
	}
	f.actions, f.nextWakeAt = nil, never
	for _, e := range events {
		switch e := e.(type) {
		case TargetList:
			f.applySnapshot(e)
		case Message:
			f.acceptMessage(e)
		case Outcome:
			f.handleOutcome(e)
		case Withdrawn:
			f.withdrawMessage(e)
		case StoreFull:
			if m := f.leastValuable(); m != nil && allCircuitsOpen(m.dest.routes) {
				f.answerMessage(m)
			}
		default:
			f.handleHostEvent(e)
		}
	}
	f.expireKeyQueues()
	f.subscribeIfDue()
	f.answerDue()
	f.checkOverdue()
	f.sendQueued()
	f.sendHedges()
	f.checkNewCalls()
	f.freeSlots()
	f.scheduleWake()
	return f.actions
}
