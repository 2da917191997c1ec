package plugin

import "time"

// Allowance bounds the CPU time that a plug-in may use and configures its circuit breaker.
type Allowance struct {
	CPU      time.Duration // per second on average; the same amount may be used in one burst
	Failures int           // consecutive costly failures that open the circuit
	Rest     time.Duration // first interval for which the circuit stays open; each failed probe doubles it, up to MaxRest
}

// MaxRest is the longest time for which a circuit stays open without a probe.
const MaxRest = time.Minute

// Verdict says whether a plug-in may be called.
type Verdict int

// Verdicts of Guard.Admit.
const (
	Run         Verdict = iota
	CircuitOpen         // the circuit breaker is open
	CPUSpent            // the plug-in has used up its CPU allowance
)

func (v Verdict) String() string {
	return [...]string{"run", "its circuit is open", "its CPU is spent"}[v]
}

// Guard decides whether a plug-in may be called. It combines a circuit breaker with a CPU budget. Only costly failures count
// towards opening the circuit: a hook that fails quickly has failed for one message, and if such failures counted, a client
// could open the circuit for all other clients by the messages that it sends.
type Guard struct {
	allowance      Allowance
	cpuUsed        time.Duration // CPU time used that the allowance has not replenished yet
	refilledAt     time.Duration // when cpuUsed was last reduced by the allowance
	costlyFailures int           // consecutive
	open           bool
	openInterval   time.Duration
	probeAfter     time.Duration // no probe is admitted before this time
	probing        bool          // a probe is in flight
}

// Ticket identifies one admitted call.
type Ticket struct{ probe bool }

// NewGuard returns a guard with a closed circuit and an unused CPU budget.
func NewGuard(a Allowance) *Guard { return &Guard{allowance: a} }

// IsProbe reports whether the call probes if the open circuit can be closed.
func (t Ticket) IsProbe() bool { return t.probe }

// Admit reports whether a call may begin now. The caller must pass the ticket of every admitted call to Done.
func (g *Guard) Admit(now time.Duration) (Verdict, Ticket) {
	g.refill(now)
	switch {
	case g.open && (now < g.probeAfter || g.probing):
		return CircuitOpen, Ticket{}
	case g.cpuUsed >= g.allowance.CPU:
		return CPUSpent, Ticket{}
	}
	g.probing = g.open
	return Run, Ticket{g.probing}
}

// Done records the CPU time that an admitted call has used, and whether it failed in a costly way. jitter is a random number
// from 0 to 1, drawn for each call: it spreads the probes of many forwarders over time.
func (g *Guard) Done(t Ticket, now, cpu time.Duration, costly bool, jitter float64) {
	g.refill(now)
	g.cpuUsed += max(0, cpu)
	if t.probe {
		g.probing = false
	}
	if !costly {
		g.costlyFailures = 0
		if t.probe {
			g.open, g.openInterval = false, 0
		}
		return
	}
	g.costlyFailures++
	switch {
	case t.probe:
		g.openInterval = min(2*g.openInterval, MaxRest)
	case !g.open && g.costlyFailures >= g.allowance.Failures:
		g.open, g.openInterval = true, g.allowance.Rest
	default: // the call began before the circuit opened
		return
	}
	g.probeAfter = now + g.openInterval/2 + time.Duration(jitter*float64(g.openInterval/2))
}

// IsCircuitOpen reports whether the circuit is open.
func (g *Guard) IsCircuitOpen() bool { return g.open }

func (g *Guard) refill(now time.Duration) {
	if now <= g.refilledAt {
		return
	}
	g.cpuUsed = max(0, g.cpuUsed-time.Duration(float64(now-g.refilledAt)/float64(time.Second)*float64(g.allowance.CPU)))
	g.refilledAt = now
}
