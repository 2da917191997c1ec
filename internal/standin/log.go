// Package standin is a world for a forwarder to run in: scripted endpoints,
// discovery and its notices, and clients, all on loopback addresses. It records
// what passes, and [Log.Check] says from the record alone whether a rule was
// broken. Tests, benchmarks and the lab use it alike.
package standin

import (
	"context"
	"fmt"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// Ran says whether a call took effect.
type Ran int8

// What a call can have come to.
const (
	Never Ran = iota // it was turned away unseen
	May              // nobody knows: an error, a reset, silence
	Yes              // answered 200
)

// Call is one call to an endpoint, as the endpoint saw it.
type Call struct {
	ID       string
	Endpoint *Endpoint
	First    time.Time // when its first byte had come
	Last     time.Time // and its last
	Ended    time.Time // when its answer was written or its connection ended; zero while it is out
	Status   int       // of the answer, 0 for none
	Ran      Ran
	Wait     time.Duration // told
	Body     uint64        // a sum of its bytes
	Header   uint64        // a sum of the fields that are not the protocol's own
}

// Handed is one message as a client handed it in, with the id that it had then.
type Handed struct {
	ID          string
	Destination int
	Unsafe      bool
	Fields      string // said beside
	Body        uint64 // a sum of its bytes
	Sent        time.Time
	Deadline    time.Time
	Answer      Answer
	Answered    time.Time
	Wait        time.Duration // with Refused
	Again       bool          // a client's repeat of another one
	Last        bool          // its client does not hand it in again
}

// Answer is what a client heard at once.
type Answer int8

// The answers.
const (
	None    Answer = iota // none in time, or the connection could not be used: nobody owes anything
	Taken                 // +OK
	Refused               // -BUSY
	Failed                // anything else
	Dropped               // the connection ended without an answer after the request's last byte
)

// Notice is the end of a message as the platform was told it.
type Notice struct {
	ID     string
	Result string // dead or bounced
	Wait   time.Duration
	At     time.Time
}

// Told is a change of the list, at the time when it had been written to the forwarder.
type Told struct {
	Endpoint string
	State    string
	At       time.Time
	Hand     bool // by an operator: it outlasts the process
}

// Log is the record of a run. Its methods may be used from any goroutine.
type Log struct {
	mu      sync.Mutex
	calls   []*Call
	handed  []*Handed
	notices []Notice
	told    []Told
	starts  []Restart
	changed sync.Cond
	open    map[string]*Handed // taken on, and not yet over
}

// Restart is an end of the forwarder and its next start.
type Restart struct {
	Ended time.Time // it was about to be ended
	Gone  time.Time // it had ended: no call of it begins later
	Ready time.Time
}

// NewLog makes an empty record.
func NewLog() *Log {
	l := &Log{open: map[string]*Handed{}}
	l.changed.L = &l.mu
	return l
}

func (l *Log) call(c *Call) {
	l.mu.Lock()
	l.calls = append(l.calls, c)
	l.mu.Unlock()
}

// ended notes how a call ended.
func (l *Log) ended(c *Call, status int, ran Ran, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Ended, c.Status, c.Ran, c.Wait = time.Now(), status, ran, wait
	if ran == Yes {
		delete(l.open, c.ID)
		l.changed.Broadcast()
	}
}

// Hand notes that a message is about to be handed in, before it is written.
func (l *Log) Hand(h *Handed) {
	l.mu.Lock()
	l.handed = append(l.handed, h)
	l.open[h.ID] = h // it may be delivered before its client hears +OK
	l.mu.Unlock()
}

// Heard notes the answer to it.
func (l *Log) Heard(h *Handed, a Answer, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.Answer, h.Wait, h.Answered = a, wait, time.Now()
	if a != Taken {
		delete(l.open, h.ID)
	}
	l.changed.Broadcast()
}

// giveUp notes that a client does not hand a message in again.
func (l *Log) giveUp(h *Handed) {
	if h != nil {
		l.mu.Lock()
		h.Last = true
		l.mu.Unlock()
	}
}

func (l *Log) notice(n Notice) {
	l.mu.Lock()
	l.notices = append(l.notices, n)
	delete(l.open, n.ID)
	l.changed.Broadcast()
	l.mu.Unlock()
}

// ByHand notes that an operator leaves an endpoint out or puts it back.
func (l *Log) ByHand(endpoint string, out bool, at time.Time) {
	t := Told{Endpoint: endpoint, State: Serving, At: at, Hand: true}
	if out {
		t.State = Draining
	}
	l.Tell([]Told{t})
}

// Tell notes changes of the list that were written to the forwarder, for whoever writes them in the place of discovery.
func (l *Log) Tell(t []Told) {
	l.mu.Lock()
	l.told = append(l.told, t...)
	l.changed.Broadcast()
	l.mu.Unlock()
}

// Restarted notes that the forwarder ended, and when its next start was ready.
func (l *Log) Restarted(r Restart) {
	l.mu.Lock()
	l.starts = append(l.starts, r)
	l.mu.Unlock()
}

// Restarts tells how often the forwarder was started again, and how long the longest start took.
func (l *Log) Restarts() (n int, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.starts {
		longest = max(longest, r.Ready.Sub(r.Ended))
	}
	return len(l.starts), longest
}

// DeliveredUnsafe returns the messages that have been answered 200 and may not run again, in the order in which they were handed in.
func (l *Log) DeliveredUnsafe() (list []*Handed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delivered := map[string]bool{}
	for _, c := range l.calls {
		delivered[c.ID] = delivered[c.ID] || c.Ran == Yes
	}
	for _, h := range l.handed {
		if h.Unsafe && delivered[h.ID] {
			list = append(list, h)
		}
	}
	return list
}

// Open is how many messages were taken on, or are being handed in, and are not over.
func (l *Log) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Await waits until done says so of the record, or the time is up; it tells which.
// done is called with the record locked, each time that something has ended, or a change of the list was written.
func (l *Log) Await(limit time.Duration, done func(*State) bool) bool {
	late := false
	timer := time.AfterFunc(limit, func() {
		l.mu.Lock()
		late = true
		l.changed.Broadcast()
		l.mu.Unlock()
	})
	defer timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if done(&State{l}) {
			return true
		}
		if late {
			return false
		}
		l.changed.Wait()
	}
}

// State is a view of a record in which something has just ended.
type State struct{ l *Log }

// Open is how many messages are not over.
func (s *State) Open() int { return len(s.l.open) }

// Calls returns the calls to endpoints, in the order in which they came.
func (s *State) Calls() []*Call { return s.l.calls }

// Told returns the changes of the list, in the order in which they were written to the forwarder.
func (s *State) Told() []Told { return s.l.told }

// Notices returns the notices, in the order in which they came.
func (s *State) Notices() []Notice { return s.l.notices }

// Limits are those of the rules, with what the sockets add.
type Limits struct {
	Drain    time.Duration // nothing new so long after an endpoint was told as draining or gone
	Wait     time.Duration // calls that come so soon after a told wait are let through
	Overdue  time.Duration // an end may come so long after the time of a message is up
	Recovery time.Duration // or so long after a restarted forwarder is ready

	// Set is what operators have set for a message; nil for nothing.
	Set func(unsafe bool, destination int) Set
	// Altered tells whether operators have messages for a destination altered; nil for none. Others go on unchanged.
	Altered func(destination int) bool
	// Goals are the groups that a message may go to; nil where each goes to its destination.
	Goals func(*Handed) []int
	// AllowUntoldOwner allows calls to the new endpoint at an address for the one that had it before, until Drain after the forwarder was told of either.
	AllowUntoldOwner bool
	// ToldOutlastsRestart tells that what a process was told holds for the next ones, until they are told otherwise.
	ToldOutlastsRestart bool
	// PerAttempt tells that messages that may be repeated may be altered for each attempt anew.
	PerAttempt bool
}

// Set is what operators have set for a message; at 0 nothing.
type Set struct {
	Attempts int
	Answer   time.Duration // for one call
	Whole    time.Duration // until its end

	// Of all messages for a destination.
	Out  int     // calls out at once
	Rate float64 // calls a second
}

// Rules are the limits of the protocol.
var Rules = Limits{Drain: 1050 * time.Millisecond, Wait: 100 * time.Millisecond,
	Overdue: 300 * time.Millisecond, Recovery: 1500 * time.Millisecond}

// Verdict is what a record says of a run.
type Verdict struct {
	Handed    int `json:"handed"` // messages; one handed in again is the same
	Delivered int `json:"delivered"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Late      int `json:"late"` // ended after their time, within what the rules allow
	Calls     int `json:"calls"`
	Unheard   int `json:"unheard"` // requests without an answer within the client's time

	Unfinished int `json:"unfinished,omitempty"` // messages whose time was not over when the run ended

	Lost        int `json:"lost"`
	Twice       int `json:"twice"`
	DrainBroken int `json:"drain_broken"`
	WaitBroken  int `json:"wait_broken"`
	WrongGroup  int `json:"wrong_group"`
	LimitBroken int `json:"limit_broken"`
	Changed     int `json:"changed"`  // bodies or headers that nobody was to alter
	Versions    int `json:"versions"` // messages that went out in two versions

	Unaltered int `json:"unaltered,omitempty"` // calls that brought a body as it was handed in, though it could have been altered

	Examples []string `json:"examples,omitempty"` // of broken rules, some

	at time.Time // when it was given
}

// Broken tells whether any rule was broken.
func (v *Verdict) Broken() bool {
	return v.Lost+v.Twice+v.DrainBroken+v.WaitBroken+v.WrongGroup+v.LimitBroken+v.Changed+v.Versions > 0
}

func (v *Verdict) say(count *int, format string, args ...any) {
	*count++
	if len(v.Examples) < 20 {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

var seed = maphash.MakeSeed()

// sum is that of a text in this process.
func sum(text []byte) uint64 { return maphash.Bytes(seed, text) }

// Counts tells how many messages were handed in, repeats not counted, and how many of all
// that were handed in are over.
func (l *Log) Counts() (handed, over int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.handed {
		if !h.Again {
			handed++
		}
	}
	return handed, len(l.handed) - len(l.open)
}

// Progress tells, of the messages that keep says, how many were handed in and delivered, and how many
// seconds after the first of all 90% and all of the delivered ones were; 0 if so many were not.
func (l *Log) Progress(keep func(*Handed) bool) (handed, delivered int, most, all float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.handed) == 0 {
		return 0, 0, 0, 0
	}
	open := map[string]bool{}
	for _, h := range l.handed {
		if keep(h) {
			open[h.ID] = true
			if !h.Again {
				handed++
			}
		}
	}
	first := l.handed[0].Sent
	var at []time.Time
	for _, c := range l.calls {
		if c.Ran == Yes && open[c.ID] {
			delete(open, c.ID)
			at = append(at, c.Ended)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	if n := (handed*9 + 9) / 10; n > 0 && n <= len(at) {
		most = at[n-1].Sub(first).Seconds()
	}
	if handed > 0 && len(at) >= handed {
		all = at[len(at)-1].Sub(first).Seconds()
	}
	return handed, len(at), most, all
}

// History tells what passed of a message, by lines in order, with times since an instant.
func (l *Log) History(id string, since time.Time) (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	note := func(at time.Time, format string, values ...any) {
		if !at.IsZero() {
			lines = append(lines, fmt.Sprintf("%9.3f s  ", at.Sub(since).Seconds())+fmt.Sprintf(format, values...))
		}
	}
	for _, h := range l.handed {
		if h.ID == id {
			note(h.Sent, "handed in for destination %d, may not be repeated: %v, until %.3f s", h.Destination, h.Unsafe, h.Deadline.Sub(since).Seconds())
			note(h.Answered, "answered %d", h.Answer)
		}
	}
	for _, c := range l.calls {
		if c.ID == id {
			note(c.First, "call to %s begins", c.Endpoint.Name)
			note(c.Last, "call to %s is whole", c.Endpoint.Name)
			note(c.Ended, "call to %s ended with status %d", c.Endpoint.Name, c.Status)
		}
	}
	for _, n := range l.notices {
		if n.ID == id {
			note(n.At, "notice: %s", n.Result)
		}
	}
	for _, r := range l.starts {
		note(r.Ended, "its forwarder is told to end or killed")
		note(r.Ready, "its forwarder is ready again")
	}
	slices.Sort(lines)
	return lines
}

// DeadThoughRun lists the messages that were reported dead though a call of theirs had been answered 200 before.
func (l *Log) DeadThoughRun() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := map[string]time.Time{}
	for _, c := range l.calls {
		if c.Ran == Yes {
			ran[c.ID] = c.Ended
		}
	}
	for _, n := range l.notices {
		if at, isRun := ran[n.ID]; isRun && n.Result == "dead" && at.Before(n.At) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// Each shows every call to an endpoint, in the order in which they came.
func (l *Log) Each(show func(*Call)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		show(c)
	}
}

// EachTold shows every change of the list that was written to the forwarder, in order.
func (l *Log) EachTold(show func(Told)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.told {
		show(t)
	}
}

// AwaitTold waits until a state of an endpoint has been written to the forwarder, not before a time, and reports whether that was by the deadline.
func (l *Log) AwaitTold(ctx context.Context, endpoint, state string, from, deadline time.Time) bool {
	for ctx.Err() == nil {
		isTold := false
		l.EachTold(func(t Told) {
			isTold = isTold || t.Endpoint == endpoint && t.State == state && !t.At.Before(from) && !t.At.After(deadline)
		})
		if isTold {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(toldPollInterval)
	}
	return false
}

// toldPollInterval is how often AwaitTold looks.
const toldPollInterval = 5 * time.Millisecond

// Add adds what another record's verdict says.
func (v *Verdict) Add(o *Verdict) {
	for _, p := range [][2]*int{{&v.Handed, &o.Handed}, {&v.Delivered, &o.Delivered}, {&v.Refused, &o.Refused}, {&v.Failed, &o.Failed}, {&v.Late, &o.Late},
		{&v.Calls, &o.Calls}, {&v.Unheard, &o.Unheard}, {&v.Unfinished, &o.Unfinished}, {&v.Lost, &o.Lost}, {&v.Twice, &o.Twice}, {&v.DrainBroken, &o.DrainBroken},
		{&v.WaitBroken, &o.WaitBroken}, {&v.WrongGroup, &o.WrongGroup}, {&v.LimitBroken, &o.LimitBroken}, {&v.Changed, &o.Changed}, {&v.Versions, &o.Versions},
		{&v.Unaltered, &o.Unaltered}} {
		*p[0] += *p[1]
	}
	v.Examples = append(v.Examples, o.Examples[:min(len(o.Examples), max(0, 20-len(v.Examples)))]...)
}
