package decide

import (
	"math"
	"time"
)

const (
	shedThreshold = 0.9 // of Settings.MaxOpen: from this share on messages are shed
	earlyShedCost = 0.3 // cost of shedding an accepted message, as a share of its value
	earlyShedAge  = 0.7 // that cost applies until this share of its time has passed
)

// acceptMessage queues a new or recovered message, or refuses it.
func (f *Forwarder) acceptMessage(e Message) {
	if f.messages[e.ID] != nil {
		return
	}
	class := f.classes[e.Class]
	switch {
	case e.Recovered && class == nil:
		f.emit(Fail{Message: e.ID})
		return
	case e.Recovered: // it was accepted and must be completed
	case class == nil || e.TimeLeft <= 0:
		f.emit(Refuse{Message: e.ID})
		return
	case f.fenced, f.settings.MaxOpen > 0 && f.openCount >= f.settings.MaxOpen:
		f.emit(Refuse{Message: e.ID, RetryAfter: f.retryAdvice(f.destination(e.Destination))})
		return
	}
	m := f.newMessage(e, class)
	if f.exceedsQuota(e.Tenant) {
		m.value = class.Value * f.settings.OverQuotaValue
	}
	f.closeAllIntervals(m.dest)
	for _, r := range m.dest.routes {
		f.resetIfUnused(r)
	}
	if e.Recovered {
		f.recoverMessage(m, e)
		return
	}
	m.dest.accepted.add(f.now, forgetAfter)
	f.enqueue(m)
	f.shedIfFull(m)
}

// recoverMessage resumes a message from before a restart. An attempt that the restart interrupted is not a
// failure of its destination, so the next one is not a retry. Outages from before the restart are not known,
// and the queue may have built up during one, so routes begin with a slow start.
func (f *Forwarder) recoverMessage(m *message, e Message) {
	m.attempts, m.sends, m.mayHaveRun, m.recovered = e.Attempts, e.Attempts, e.MayHaveRun, true
	if e.HasOpenAttempt {
		m.sends--
	}
	m.sends = min(m.sends, maxRetries) // the host also counts attempts not sent: leave one
	if m.mayHaveRun && m.class.Effect != Idempotent || f.attemptsExhausted(m) || f.now >= m.answerDeadline() {
		f.answerMessage(m) // when a deduplicated one ran is not known any more
		return
	}
	for _, r := range m.dest.routes {
		if r.lastSuccessSentAt < 0 && !r.slowStart {
			r.slowStart, r.slowStartAt = true, f.now
		}
		if f.equalShare(r) <= 0 { // without a limit the messages alone set the pace
			m.dest.accepted.add(f.now, forgetAfter)
			f.startedAt = min(f.startedAt, m.createdAt) // since when they came
		}
	}
	f.enqueue(m)
}

// shedIfFull sheds the least valuable message when the queues are almost full, so that messages for failing
// destinations do not displace the others. A new message behind others in its queue is shed before an old
// one of slightly less value, since its client has no acceptance yet.
func (f *Forwarder) shedIfFull(incoming *message) {
	if f.settings.MaxOpen == 0 || float64(f.openCount) < shedThreshold*float64(f.settings.MaxOpen) {
		return
	}
	if m := f.leastValuable(); m != nil {
		left := float64(m.deadline-f.now) / float64(m.class.Deadline)
		highest := f.valueWhenSent(m) + earlyShedCost*m.value*oneIf(left > 1-earlyShedAge)
		if incoming.dest.queued > 1 && f.valueWhenSent(incoming) <= highest {
			m = incoming
		}
		f.answerMessage(m)
	}
}

// valueWhenSent is the value that a message has when all that are queued for its destination are sent.
func (f *Forwarder) valueWhenSent(m *message) float64 {
	return m.value * f.valueShare(m.class, f.now+m.dest.drainTime-m.createdAt)
}

// leastValuable returns the message with the lowest value when sent, of those that may be refused.
func (f *Forwarder) leastValuable() (least *message) {
	var lowest float64
	f.forEachSheddable(func(g *group) {
		m := g.oldest()
		v := f.valueWhenSent(m)
		if least == nil || v < lowest || v == lowest && shedBefore(g, least.group) {
			least, lowest = m, v
		}
	})
	return least
}

// queueDrainTime is the time to send all messages queued for a destination. With all circuits open only
// probes are sent, so messages for a failing destination have the least value when sent and are shed first.
func (f *Forwarder) queueDrainTime(d *destination) time.Duration {
	each := f.expectedLatency(d.routes)
	if len(d.routes) > 0 && allCircuitsOpen(d.routes) {
		for _, r := range d.routes {
			each = max(each, r.probeInterval)
		}
	}
	return time.Duration(d.queued) * each
}

// valueShare is the share of its value that a message of a class has left at an age.
func (f *Forwarder) valueShare(class *Class, age time.Duration) float64 {
	if age <= class.OnTime || class.OnTime <= 0 {
		return 1
	}
	if age >= class.Deadline {
		return 0
	}
	if f.settings.Decay == Exponential {
		return max(class.LateShare, math.Pow(0.5, float64(age-class.OnTime)/float64(class.OnTime)))
	}
	return 1 - (1-class.LateShare)*float64(age-class.OnTime)/float64(class.Deadline-class.OnTime)
}
