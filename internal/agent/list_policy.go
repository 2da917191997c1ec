package agent

import (
	"math"
	"slices"
	"time"
)

// listPolicy decides when list calls are made and which ones are given up. It is told what becomes of each call, and does no I/O and reads no clock: times
// are durations since any one moment. It has one owner, listFollower.
//
// A call without an answer is not given up as soon as it is late, since a slow answer is lost by that each time. Another call is made beside it instead: at
// once where the list is pushed and calls cost nothing, and in small fleets; after a back-off in larger ones where discovery works on each call. The first answer counts; calls that began
// before the answered one are given up, and those that began after it go on, since they may know more. Beside an answer that is arriving there is one other
// call at most, since more of them would only slow each other down; after slowestAnswer it holds no further call up.
type listPolicy struct {
	fleet  Fleet
	timing listTiming
	retry  backoff

	calls      []listCall // in flight, in the order in which they began
	lastID     int
	nextAt     time.Duration // when the next call begins if nothing happens before; never: not before something happens
	listKnown  bool          // a list is known, so that changes after it can be requested
	promptNext bool          // the next call is to be answered at once, also if there are no changes
	refresh    bool          // a call that begins from now on was requested
	retrying   bool          // nextAt is the end of a back-off
	silent     bool          // a call was given up since the last answer
	movedAt    time.Duration // when another address came into use; negative: never
}

// listTiming has the times of list calls.
type listTiming struct {
	hold         time.Duration // how long discovery may hold a watch
	overdue      time.Duration // after which a call that is not held has another one beside it
	holdMargin   time.Duration // the same, counted from the end of a watch's hold
	giveUp       time.Duration // after which a call without an answer is given up; counted from the end of the hold for a watch
	idle         time.Duration // the same for an answer that has begun, counted from its last part
	maxCalls     int           // in flight
	firstCallMax time.Duration // within which the first call is made
}

const (
	never = time.Duration(math.MaxInt64)

	// overdueAfter lets answers that take 5 s be received within receiptLimit after any change: the next call begins before that is a second old.
	overdueAfter = 900 * time.Millisecond
	// slowestAnswer is the longest that an answer may take to count.
	slowestAnswer = receiptLimit
	// maxIdleAnswer is how long an answer that has begun may stop arriving before its call is given up.
	maxIdleAnswer = 2 * time.Second
	// maxListCalls bounds the calls in flight, and with that the connections to discovery: one more than begin within slowestAnswer.
	maxListCalls = int(slowestAnswer/overdueAfter) + 2
	// promptRefusal is the longest that a refusal takes which costs discovery nothing. A later one waited for its turn, and was work in vain.
	promptRefusal = time.Second
	// receiptLimitAfterReload is when a change counts as received after another address of discovery came into use.
	receiptLimitAfterReload = 4 * time.Second
)

// listCall is a list call in flight.
type listCall struct {
	id       int
	held     bool // discovery may hold it until there are changes
	began    time.Duration
	due      time.Duration // when another call is made beside it; never: it was made
	giveUpAt time.Duration
	partAt   time.Duration // when a part of its answer last arrived; negative: not yet
	slowAt   time.Duration // from then on an answer that is still arriving holds no other call up
}

// listFailure says how a list call failed.
type listFailure int

const (
	listUnusable listFailure = iota // no connection, a reset, an answer that is cut off or no list, or an older list than the one in force
	listRefused
	listSilent // no answer in time
)

// listStep is what a listPolicy wants done.
type listStep struct {
	begin  *listCall // a call to make now; nil: none
	giveUp []int     // calls to cancel
	wake   time.Duration
}

// newListPolicy returns the policy of a process that starts now. Lists are requested whole until one is known.
func newListPolicy(fleet Fleet, timing listTiming, retry backoff, listKnown bool) *listPolicy {
	return &listPolicy{fleet: fleet, timing: timing, retry: retry, listKnown: listKnown, movedAt: -1, nextAt: time.Duration(fleet.random() * float64(timing.firstCallMax))}
}

// listTiming returns the times of the list calls of a Watch.
func (f Fleet) listTiming() listTiming {
	t := listTiming{hold: f.holdTime(), overdue: overdueAfter, holdMargin: overdueAfter, giveUp: slowestAnswer, idle: maxIdleAnswer, maxCalls: maxListCalls, firstCallMax: f.initialSpread()}
	if !f.affordsOverlap() {
		t.overdue = subscribedListTimeout
	}
	return t
}

// affordsOverlap reports whether all forwarders may make a call each overdueAfter: where the list is pushed, and in a fleet that discovery serves once in
// about that time.
func (f Fleet) affordsOverlap() bool {
	return !f.MustSubscribe || f.initialCallPeriod() <= time.Second
}

// advance moves the policy on to a time.
func (p *listPolicy) advance(now time.Duration) (step listStep) {
	p.scheduleBesideOverdue(now)
	step.giveUp = p.dropSilent(now)
	arrivingUntil := p.arrivingUntil()
	isBlocked := len(p.calls) >= 2 && now < arrivingUntil
	if now >= p.nextAt && !isBlocked {
		if len(p.calls) >= p.timing.maxCalls {
			step.giveUp = append(step.giveUp, p.dropMostSilent())
		}
		step.begin = p.begin(now)
	}
	step.wake = p.nextAt
	if isBlocked {
		step.wake = max(step.wake, arrivingUntil)
	}
	for _, c := range p.calls {
		step.wake = min(step.wake, c.giveUpAt)
	}
	if latest := p.latest(); latest != nil {
		step.wake = min(step.wake, latest.due)
	}
	return step
}

// begin adds the next call.
func (p *listPolicy) begin(now time.Duration) *listCall {
	p.lastID++
	c := listCall{id: p.lastID, held: p.listKnown && !p.promptNext && !p.refresh, began: now, due: never, giveUpAt: never, partAt: -1}
	answerDue, margin := now, p.timing.overdue
	if c.held {
		answerDue, margin = now+p.timing.hold, p.timing.holdMargin
	}
	if p.timing.maxCalls > 1 { // otherwise the call has limits of its own
		c.due, c.giveUpAt = answerDue+margin, answerDue+p.timing.giveUp
		c.slowAt = c.giveUpAt
	}
	p.calls = append(p.calls, c)
	p.nextAt, p.refresh, p.retrying = never, false, false
	return &c
}

// arrivingUntil returns until when an answer counts as arriving, and holds other calls up, if nothing more of it does.
func (p *listPolicy) arrivingUntil() (until time.Duration) {
	for _, c := range p.calls {
		if c.partAt >= 0 {
			until = max(until, min(c.partAt+overdueAfter, c.slowAt))
		}
	}
	return until
}

// latest returns the call that began last, nil if it has ended.
func (p *listPolicy) latest() *listCall {
	if n := len(p.calls); n > 0 && p.calls[n-1].id == p.lastID {
		return &p.calls[n-1]
	}
	return nil
}

// scheduleBesideOverdue schedules another call if the latest one is overdue.
func (p *listPolicy) scheduleBesideOverdue(now time.Duration) {
	latest := p.latest()
	if latest == nil || now < latest.due {
		return
	}
	due := latest.due
	latest.due = never
	switch {
	case !p.fleet.MustSubscribe, p.fleet.affordsOverlap() && !p.silent:
		p.schedule(now, due)
	case latest.held: // the receipt limit leaves no time for a back-off
		p.schedule(now, due+time.Duration(p.fleet.random()*float64(reopenDelay)))
	default:
		p.schedule(now, due+p.fleet.retryDelay(&p.retry, due-latest.began, listSilent))
	}
	p.promptNext = true
}

// schedule sets when the next call begins. Another address that came into use is called again before what it has counts as received.
func (p *listPolicy) schedule(now, at time.Duration) {
	if last := p.movedAt + receiptLimitAfterReload - reopenDelay; p.movedAt >= 0 && now < last {
		at = min(at, last)
	}
	p.nextAt, p.retrying = min(p.nextAt, at), true
}

// dropSilent removes the calls that have had no answer for too long, and returns them.
func (p *listPolicy) dropSilent(now time.Duration) (dropped []int) {
	p.calls = slices.DeleteFunc(p.calls, func(c listCall) bool {
		if now < c.giveUpAt {
			return false
		}
		dropped = append(dropped, c.id)
		return true
	})
	p.silent = p.silent || len(dropped) > 0
	return dropped
}

// dropMostSilent removes the call that would be given up first.
func (p *listPolicy) dropMostSilent() int {
	first := 0
	for i, c := range p.calls {
		if c.giveUpAt < p.calls[first].giveUpAt {
			first = i
		}
	}
	id := p.calls[first].id
	p.calls = slices.Delete(p.calls, first, first+1)
	return id
}

func (p *listPolicy) find(id int) int {
	return slices.IndexFunc(p.calls, func(c listCall) bool { return c.id == id })
}

// progress reports that a part of the answer to a call arrived.
func (p *listPolicy) progress(at time.Duration, id int) {
	i := p.find(id)
	if i < 0 || p.timing.maxCalls == 1 {
		return
	}
	c := &p.calls[i]
	c.partAt = at
	c.giveUpAt = max(c.giveUpAt, at+p.timing.idle)
}

// answered reports an answer that was accepted, and returns the calls to cancel.
func (p *listPolicy) answered(now time.Duration, id int) (giveUp []int) {
	i := p.find(id)
	if i < 0 {
		return nil
	}
	for _, earlier := range p.calls[:i] {
		giveUp = append(giveUp, earlier.id)
	}
	p.calls = slices.Delete(p.calls, 0, i+1)
	p.retry.reset()
	p.listKnown, p.promptNext, p.silent, p.retrying = true, false, false, false
	if latest := p.latest(); latest != nil && latest.held && !p.refresh {
		return giveUp
	}
	p.nextAt = now
	return giveUp
}

// failed reports a call that failed.
func (p *listPolicy) failed(now time.Duration, id int, how listFailure) {
	i := p.find(id)
	if i < 0 {
		return
	}
	c := p.calls[i]
	isLatest := id == p.lastID
	p.calls = slices.Delete(p.calls, i, i+1)
	if !isLatest || p.nextAt != never { // the next call is due anyway
		return
	}
	delay := p.fleet.retryDelay(&p.retry, now-c.began, how)
	if how == listSilent && c.held && now-c.began >= p.timing.hold { // a longer delay would exceed the receipt limit
		p.retry.reset()
		delay = min(delay, time.Duration(p.fleet.random()*float64(reopenDelay)))
	}
	p.promptNext = p.promptNext || p.fleet.MustSubscribe
	p.schedule(now, now+delay)
}

// refreshNow has a call without a hold made at once, unless discovery works on each call and the last one failed.
func (p *listPolicy) refreshNow(now time.Duration) {
	p.refresh = true
	if p.fleet.MustSubscribe && p.retrying {
		return
	}
	p.nextAt = min(p.nextAt, now)
}

// changeAddress reports that another address of discovery is in use, and returns the calls to cancel. Its list is requested whole.
func (p *listPolicy) changeAddress(now time.Duration) (giveUp []int) {
	for _, c := range p.calls {
		giveUp = append(giveUp, c.id)
	}
	p.calls = nil
	p.retry.reset()
	p.listKnown, p.promptNext, p.silent, p.retrying = false, false, false, false
	p.nextAt, p.movedAt = now, now
	return giveUp
}
