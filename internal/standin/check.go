package standin

import (
	"cmp"
	"slices"
	"time"
)

// Check says from the record whether a rule was broken. What is not over and has had its time is lost.
func (l *Log) Check(limits Limits) *Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &Verdict{Calls: len(l.calls), at: time.Now()}
	byID := map[string][]*Call{}
	for _, c := range l.calls {
		byID[c.ID] = append(byID[c.ID], c)
	}
	ends := map[string]Notice{}
	for _, n := range l.notices {
		if _, ok := ends[n.ID]; !ok {
			ends[n.ID] = n
		}
	}
	handed := map[string]*Handed{}
	for _, h := range l.handed {
		handed[h.ID] = h
		l.checkEnd(v, limits, h, byID[h.ID], ends)
		checkTwice(v, h, byID[h.ID], ends[h.ID])
		checkContent(v, limits, h, byID[h.ID])
		l.checkSet(v, limits, h, byID[h.ID], ends[h.ID])
	}
	for _, c := range l.calls {
		h := handed[c.ID]
		if h == nil {
			v.say(&v.WrongGroup, "%s was called with %s, which no client has handed in", c.Endpoint.Name, c.ID)
		} else if goals := limits.goals(h); !slices.Contains(goals, c.Endpoint.Group) && !(limits.AllowUntoldOwner && !l.knewOwner(c, limits)) {
			v.say(&v.WrongGroup, "%s is for %d and went to %s of %d", c.ID, goals, c.Endpoint.Name, c.Endpoint.Group)
		}
	}
	l.checkDestinations(v, limits)
	l.checkDrains(v, limits)
	l.checkWaits(v, limits)
	return v
}

// knewOwner reports whether a call began longer than the grace after its process was told that the endpoint has its address, or that the one before has
// lost it.
func (l *Log) knewOwner(c *Call, limits Limits) bool {
	former := c.Endpoint.Former
	if former == nil {
		return true
	}
	return slices.ContainsFunc(l.told, func(t Told) bool {
		isAboutOwner := t.Endpoint == c.Endpoint.Name && t.State == Serving || t.Endpoint == former.Name && t.State != Serving
		return isAboutOwner && l.remembers(&t, c, limits) && c.First.Sub(t.At) > limits.Drain
	})
}

func (l *Limits) goals(h *Handed) []int {
	if l.Goals == nil {
		return []int{h.Destination}
	}
	return l.Goals(h)
}

// over is when the first call that was answered 200 ended.
func over(calls []*Call) (at time.Time) {
	for _, c := range calls {
		if c.Ran == Yes && (at.IsZero() || c.Ended.Before(at)) {
			at = c.Ended
		}
	}
	return at
}

// LongestEnd is the longest time from when a message was handed in until its end, of those that keep says.
func (l *Log) LongestEnd(keep func(*Handed) bool) (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := map[string]time.Time{}
	for _, n := range l.notices {
		ends[n.ID] = n.At
	}
	for _, c := range l.calls {
		if c.Ran == Yes {
			ends[c.ID] = c.Ended
		}
	}
	for _, h := range l.handed {
		end := h.Answered
		if at, over := ends[h.ID]; over && h.Answer == Taken {
			end = at
		}
		if keep(h) && !end.IsZero() {
			longest = max(longest, end.Sub(h.Sent))
		}
	}
	return longest
}

// checkEnd looks for the one end that a message is owed.
func (l *Log) checkEnd(v *Verdict, limits Limits, h *Handed, calls []*Call, ends map[string]Notice) {
	if !h.Again {
		v.Handed++
	}
	switch h.Answer {
	case Dropped:
		v.say(&v.Lost, "%s, handed in at %s: the connection ended without an answer", h.ID, h.Sent.Format("15:04:05.000"))
		return
	case Refused:
		if h.Last {
			v.Refused++
		}
		return
	case Failed:
		v.Failed++
		return
	case None:
		v.Unheard++
		if h.Last { // its client has given it up
			v.Failed++
		}
		return
	}
	end := over(calls)
	n, noticed := ends[h.ID]
	switch {
	case !end.IsZero():
		v.Delivered++
	case !noticed && v.at.Before(h.Deadline.Add(limits.Overdue)):
		v.Unfinished++ // the run ended before its time
		return
	case !noticed:
		v.say(&v.Lost, "%s for %d was taken on and has no end", h.ID, h.Destination)
		return
	case n.Result == "bounced":
		v.Refused++
		end = n.At
	default:
		v.Failed++
		end = n.At
	}
	if late := end.Sub(h.Deadline); late > 0 {
		v.Late++
		if late > limits.Overdue && !l.recovering(limits, h, end) {
			v.say(&v.Lost, "%s ended %v after its time", h.ID, late.Round(time.Millisecond))
		}
	}
}

// recovering tells whether an end that is overdue was due while the forwarder
// was away, or had just come back. One that is ended again before its time to
// recover is over has that time after its next start.
func (l *Log) recovering(limits Limits, h *Handed, end time.Time) bool {
	for i, r := range l.starts {
		until := r.Ready.Add(limits.Recovery)
		for _, next := range l.starts[i+1:] {
			if next.Ended.Before(until) {
				until = next.Ready.Add(limits.Recovery)
			}
		}
		if h.Deadline.Add(limits.Overdue).After(r.Ended) && h.Deadline.Before(until) && end.Before(until) {
			return true
		}
	}
	return false
}

// checkTwice looks for a send after one that may have run, where that may not be repeated; for two
// sends of one message out at once; and for a refusal though it may have run.
func checkTwice(v *Verdict, h *Handed, calls []*Call, n Notice) {
	mayRun := false
	for i, c := range calls {
		if i > 0 {
			before := calls[i-1]
			if before.Ended.IsZero() || before.Ended.After(c.Last) {
				v.say(&v.Twice, "%s is out to %s and %s at once", h.ID, before.Endpoint.Name, c.Endpoint.Name)
				continue
			}
		}
		if mayRun && h.Unsafe {
			v.say(&v.Twice, "%s went out again to %s, though it may have run", h.ID, c.Endpoint.Name)
		}
		mayRun = mayRun || c.Ran != Never
	}
	if mayRun && h.Unsafe && n.Result == "bounced" {
		v.say(&v.Twice, "%s was refused, though it may have run", h.ID)
	}
}

// checkContent looks for a message that was altered though nobody was to, or that went out in two versions.
func checkContent(v *Verdict, limits Limits, h *Handed, calls []*Call) {
	altered := limits.Altered != nil && limits.Altered(h.Destination)
	for i, c := range calls {
		if !altered && (c.Body != h.Body || c.Header != 0) {
			v.say(&v.Changed, "%s did not go to %s as it was handed in", h.ID, c.Endpoint.Name)
		}
		if altered && c.Body == h.Body {
			v.Unaltered++
		}
		if i > 0 && (h.Unsafe || !limits.PerAttempt) && (c.Body != calls[0].Body || c.Header != calls[0].Header) {
			v.say(&v.Versions, "%s went to %s in another version than before", h.ID, c.Endpoint.Name)
		}
	}
}

// checkSet looks for what goes beyond what operators have set: as many calls, each as long, and an end in time.
func (l *Log) checkSet(v *Verdict, limits Limits, h *Handed, calls []*Call, n Notice) {
	if limits.Set == nil {
		return
	}
	set := limits.Set(h.Unsafe, h.Destination)
	if set.Attempts > 0 && len(calls) > set.Attempts {
		v.say(&v.LimitBroken, "%s was sent %d times, %d are set", h.ID, len(calls), set.Attempts)
	}
	for _, c := range calls {
		if took := c.Ended.Sub(c.First); set.Answer > 0 && !c.Ended.IsZero() && took > set.Answer+limits.Overdue {
			v.say(&v.LimitBroken, "%s was out to %s for %v, %v is set", h.ID, c.Endpoint.Name, took.Round(time.Millisecond), set.Answer)
		}
	}
	end := n.At
	if done := over(calls); !done.IsZero() {
		end = done
	}
	if late := end.Sub(h.Sent); set.Whole > 0 && !end.IsZero() && late > set.Whole+limits.Overdue && l.since(end).Before(h.Sent) {
		v.say(&v.LimitBroken, "%s ended after %v, %v is set", h.ID, late.Round(time.Millisecond), set.Whole)
	}
}

const (
	endLag   = 20 * time.Millisecond // until the forwarder's end of a call is seen at the endpoint's
	rateSpan = 2 * time.Second
	rateMore = 3 // calls in a span that a pace's one in hand, and what was on its way, may come to
)

// checkDestinations looks for more calls at once to a destination, or in a span, than operators have set.
func (l *Log) checkDestinations(v *Verdict, limits Limits) {
	if limits.Set == nil {
		return
	}
	byGroup := map[int][]*Call{}
	for _, c := range l.calls {
		byGroup[c.Endpoint.Group] = append(byGroup[c.Endpoint.Group], c)
	}
	for group, calls := range byGroup {
		set := limits.Set(false, group)
		if set.Out == 0 && set.Rate == 0 {
			continue
		}
		slices.SortFunc(calls, func(a, b *Call) int { return a.First.Compare(b.First) })
		from := 0
		var out []*Call
		for i, c := range calls {
			since := l.since(c.First) // a process knows nothing of the calls of the one before
			out = slices.DeleteFunc(out, func(o *Call) bool {
				return o.First.Before(since) || !o.Ended.IsZero() && o.Ended.Before(c.First.Add(endLag))
			})
			if out = append(out, c); set.Out > 0 && len(out) > set.Out {
				v.say(&v.LimitBroken, "%d calls are out to %d at once, %d are set", len(out), group, set.Out)
			}
			for calls[from].First.Before(since) || c.First.Sub(calls[from].First) > rateSpan {
				from++
			}
			if n := i - from + 1; set.Rate > 0 && float64(n) > set.Rate*rateSpan.Seconds()+rateMore {
				v.say(&v.LimitBroken, "%d calls went to %d within %v, %v a second are set", n, group, rateSpan, set.Rate)
			}
		}
	}
}

// since is the last start of the forwarder before a time: what it was told before that it does not know.
func (l *Log) since(at time.Time) (start time.Time) {
	for _, r := range l.starts {
		if r.Gone.Before(at) && r.Gone.After(start) {
			start = r.Gone
		}
	}
	return start
}

// toldMargin is how long before the end of a process something must have been told for the next one to know it.
const toldMargin = 100 * time.Millisecond

// remembers reports whether the process that made a call knows what was told before: what it was told itself, and if that outlasts restarts what the ones
// before it were told in time.
func (l *Log) remembers(t *Told, c *Call, limits Limits) bool {
	for _, r := range l.starts {
		isEarlierLife := t.At.Before(r.Gone) && r.Gone.Before(c.First)
		if isEarlierLife && (!limits.ToldOutlastsRestart || t.At.After(r.Ended.Add(-toldMargin))) {
			return false
		}
	}
	return true
}

func (l *Log) checkDrains(v *Verdict, limits Limits) {
	told := map[string][]Told{}
	for _, t := range l.told {
		told[t.Endpoint] = append(told[t.Endpoint], t)
	}
	for _, c := range l.calls {
		// When the last change that closed it was told first: by discovery in this life, and by hand in any.
		var by [2]time.Time
		for _, t := range told[c.Endpoint.Name] {
			closed := &by[0]
			if t.Hand {
				closed = &by[1]
			}
			switch {
			case t.At.After(c.First) || !t.Hand && !l.remembers(&t, c, limits) && !(t.State == Serving && limits.ToldOutlastsRestart):
				// A report that it serves counts whenever it came: the process may know it.
			case t.State == Serving:
				*closed = time.Time{}
			case closed.IsZero():
				*closed = t.At
			}
		}
		for i, closed := range by {
			if !closed.IsZero() && c.First.Sub(closed) > limits.Drain {
				v.say(&v.DrainBroken, "%s went to %s %v after that was told to drain or be gone (%s)", c.ID, c.Endpoint.Name,
					c.First.Sub(closed).Round(time.Millisecond), []string{"by discovery", "by hand"}[i])
			}
		}
	}
}

func (l *Log) checkWaits(v *Verdict, limits Limits) {
	byGroup := map[int][]*Call{}
	for _, c := range l.calls {
		byGroup[c.Endpoint.Group] = append(byGroup[c.Endpoint.Group], c)
	}
	for _, calls := range byGroup {
		var waits []*Call
		for _, c := range calls {
			if c.Wait > 0 {
				waits = append(waits, c)
			}
		}
		if len(waits) == 0 {
			continue
		}
		slices.SortFunc(waits, func(a, b *Call) int { return a.Ended.Compare(b.Ended) })
		most := slices.MaxFunc(waits, func(a, b *Call) int { return cmp.Compare(a.Wait, b.Wait) }).Wait
		for _, c := range calls {
			since := l.since(c.First)
			// Of the waits told before it, those that can still hold.
			to, _ := slices.BinarySearchFunc(waits, c.First, func(w *Call, t time.Time) int { return w.Ended.Compare(t) })
			for i := to - 1; i >= 0 && c.First.Sub(waits[i].Ended) < most; i-- {
				w := waits[i]
				// A call of an earlier life may be answered after its end: nobody hears that.
				if after := c.First.Sub(w.Ended); !w.First.Before(since) && after > limits.Wait && after < w.Wait {
					v.say(&v.WaitBroken, "%s went to %d %v after a wait of %v was told", c.ID, c.Endpoint.Group,
						after.Round(time.Millisecond), w.Wait)
					break
				}
			}
		}
	}
}
