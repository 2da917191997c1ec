package plugin

import "time"

// Allowance is what a plug-in may use.
type Allowance struct {
	CPU      time.Duration // of each second, on the average; as much may be used at once
	Failures int           // costly ones in a row that open its circuit
	Rest     time.Duration // the circuit's first; it doubles with each failed trial, up to MostRest
}

// MaxRest is the longest time for which a circuit stays open without a trial.
const MaxRest = time.Minute

// Verdict says whether a plug-in is asked.
type Verdict int

// The verdicts.
const (
	Run         Verdict = iota
	CircuitOpen         // its circuit is open
	CPUSpent            // it has used up its share of the processor
)

func (v Verdict) String() string {
	return [...]string{"run", "its circuit is open", "its CPU is spent"}[v]
}

// Guard decides whether a plug-in is asked. Only what is costly counts against it: a hook that ends in an error soon has failed
// for its own message alone, or else a client could open the circuit for all others by what it sends.
type Guard struct {
	allowed Allowance
	used    time.Duration // of the CPU that comes back with time
	at      time.Duration // when that was counted
	failed  int           // in a row
	open    bool
	rest    time.Duration
	until   time.Duration // no trial before
	trial   bool          // one is out
}

// Ticket is for one admitted call.
type Ticket struct{ trial bool }

// NewGuard returns the guard of a plug-in that has done nothing yet.
func NewGuard(a Allowance) *Guard { return &Guard{allowed: a} }

// IsProbe tells whether the call shows if an open circuit may be closed.
func (t Ticket) IsProbe() bool { return t.trial }

// Admit tells whether a call may begin now. Each that may must be told to Done, with its ticket.
func (g *Guard) Admit(now time.Duration) (Verdict, Ticket) {
	g.refill(now)
	switch {
	case g.open && (now < g.until || g.trial):
		return CircuitOpen, Ticket{}
	case g.used >= g.allowed.CPU:
		return CPUSpent, Ticket{}
	}
	g.trial = g.open
	return Run, Ticket{g.trial}
}

// Done tells what an admitted call has used, and whether it failed in a costly way. chance, from 0 to 1, is drawn for each
// call anew: it spreads the trials of many forwarders.
func (g *Guard) Done(t Ticket, now, cpu time.Duration, costly bool, chance float64) {
	g.refill(now)
	g.used += max(0, cpu)
	if t.trial {
		g.trial = false
	}
	if !costly {
		g.failed = 0
		if t.trial {
			g.open, g.rest = false, 0
		}
		return
	}
	g.failed++
	switch {
	case t.trial:
		g.rest = min(2*g.rest, MaxRest)
	case !g.open && g.failed >= g.allowed.Failures:
		g.open, g.rest = true, g.allowed.Rest
	default: // it had begun before the circuit opened
		return
	}
	g.until = now + g.rest/2 + time.Duration(chance*float64(g.rest/2))
}

// IsCircuitOpen tells whether the circuit is open.
func (g *Guard) IsCircuitOpen() bool { return g.open }

func (g *Guard) refill(now time.Duration) {
	if now <= g.at {
		return
	}
	g.used = max(0, g.used-time.Duration(float64(now-g.at)/float64(time.Second)*float64(g.allowed.CPU)))
	g.at = now
}
