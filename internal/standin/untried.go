package standin

import "time"

// Untried counts the messages that a restart found accepted, with at least half of their time left, and not sent to any endpoint before.
type Untried struct {
	Restart  Restart
	Messages int
	Unsafe   int // of these may not be repeated

	// Of these were given up while half of their time was left, and no endpoint was ever called with them.
	GivenUp, GivenUpUnsafe int
	Example                string // the id of one of the latter
}

// FoundUntried returns what each restart found untried.
func (l *Log) FoundUntried() (list []Untried) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := map[string]time.Time{} // call by message
	for _, c := range l.calls {
		if at, ok := first[c.ID]; !ok || c.First.Before(at) {
			first[c.ID] = c.First
		}
	}
	notices := map[string]time.Time{}
	for _, n := range l.notices {
		if _, ok := notices[n.ID]; !ok {
			notices[n.ID] = n.At
		}
	}
	for _, r := range l.starts {
		u := Untried{Restart: r}
		for _, h := range l.handed {
			called, wasCalled := first[h.ID]
			noticed, hasNotice := notices[h.ID]
			halfTime := h.Sent.Add(h.Deadline.Sub(h.Sent) / 2)
			isFound := h.Answer == Taken && h.Answered.Before(r.Gone) && r.Ready.Before(halfTime) && !(wasCalled && called.Before(r.Gone)) && !(hasNotice && noticed.Before(r.Gone))
			if !isFound {
				continue
			}
			u.add(h, !wasCalled && hasNotice && noticed.Before(halfTime))
		}
		list = append(list, u)
	}
	return list
}

func (u *Untried) add(h *Handed, isGivenUp bool) {
	u.Messages++
	if h.Unsafe {
		u.Unsafe++
	}
	if !isGivenUp {
		return
	}
	u.GivenUp++
	if h.Unsafe {
		u.GivenUpUnsafe++
		u.Example = h.ID
	}
}
