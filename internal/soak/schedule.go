// Package soak runs several real forwarders under faults drawn from a seed, and checks the rules against the records of the endpoints,
// clients and notices alone. The faults are failing system calls, steps of the wall clock, replaced folders and addresses, duplicate
// responses, late connections, restarts and upgrades, network faults and misbehaving clients.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/faults"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	Disk      Kind = "disk"      // operations of a folder fail for a while
	Folder    Kind = "folder"    // a folder is replaced by an empty one under its process
	Kill      Kind = "kill"      // SIGKILL and a start
	Term      Kind = "term"      // SIGTERM, SIGKILL 3.7 s later, and a start
	Clock     Kind = "clock"     // SIGKILL, and the wall clock is set before the start
	Repeats   Kind = "repeats"   // endpoints answer some calls twice
	Sick      Kind = "sick"      // endpoints of a destination fail, or are silent, for a while
	Resets    Kind = "resets"    // connections to endpoints are reset at some pieces
	Pieces    Kind = "pieces"    // bytes to and from endpoints come in small pieces
	Discovery Kind = "discovery" // the agent is silent
	Drain     Kind = "drain"     // an endpoint drains, goes and comes back
	Pause     Kind = "pause"     // a process is stopped for 0.15 s
	Accept    Kind = "accept"    // accept fails
	Connect   Kind = "connect"   // connect fails
	Replay    Kind = "replay"    // a client hands in ids of delivered messages again
	Replace   Kind = "replace"   // a new endpoint, of another destination, starts at the address of one that has ended
	Late      Kind = "late"      // connections to an endpoint come up late, while it drains or is gone
	Upgrade   Kind = "upgrade"   // a process hands over to the next one
	Series    Kind = "series"    // SIGTERM among other signals, SIGKILL 3.7 s later, a start, and SIGTERM again
	Crowd     Kind = "crowd"     // hundreds of clients that never end a request
	// Connecting is an end of a process while no connection to a destination comes up, and a start after they do.
	Connecting Kind = "connecting"
	// Outage is an end of a process while the agent is silent, after most of the listed endpoints have been replaced, and one or two starts meanwhile.
	Outage Kind = "outage"
	// Lists is an agent that answers list calls late, or refuses them, while an endpoint begins to drain.
	Lists Kind = "lists"
	// Scarce is answers that come twice while processes have no connection left to open.
	Scarce Kind = "scarce"
)

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return []Kind{Disk, Folder, Kill, Term, Clock, Repeats, Sick, Resets, Pieces, Discovery, Drain, Pause, Accept, Connect, Replay, Replace, Late, Upgrade, Series, Crowd, Connecting, Outage, Lists, Scarce}
}

// Fault is one fault of a run.
type Fault struct {
	Kind  Kind
	At    time.Duration
	Lasts time.Duration
	Node  int    // the forwarder, for faults of one
	Place int    // the endpoint or destination, for faults of one
	How   string // the line of the fault file, the step for Clock, or a variant

	// For Replace and Late: the time from the beginning until the lists report it, and until connections are established. For Lists: the time until the change,
	// and the time for an answer.
	Reported, Opens time.Duration
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%5.2f s %-9s for %4.2f s, node %d, place %d %s", f.At.Seconds(), f.Kind, f.Lasts.Seconds(), f.Node+1, f.Place, f.How)
}

// Shape is the size of a run.
type Shape struct {
	Forwarders   int
	Destinations int
	Endpoints    int           // of each destination
	Length       time.Duration // during which faults begin
	Left         time.Duration // deadline of each message
	Rate         float64       // messages per second at each forwarder
	Kinds        []Kind        // kinds to draw from
}

// DefaultShape returns a run of about 20 s.
func DefaultShape() Shape {
	return Shape{Forwarders: 3, Destinations: 4, Endpoints: 2, Length: 8 * time.Second, Left: 6 * time.Second, Rate: 40, Kinds: Kinds()}
}

const (
	kindsOfRun  = 5 // at most
	perKind     = 3 // faults at most
	maxLast     = 2 * time.Second
	maxSilence  = 8 * time.Second // of discovery
	startMargin = 500 * time.Millisecond
)

// drainGrace is the shortest grace of the operators' settings.
const drainGrace = 500 * time.Millisecond

// Draw draws the faults of a run. Faults of one process that end it do not overlap.
func Draw(s Shape, seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	kinds := slices.Clone(s.Kinds)
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:min(len(kinds), 1+rng.IntN(kindsOfRun))]
	if slices.Contains(kinds, Upgrade) { // a handover is refused while the journal can't be kept, so that its end could not be told from a failure
		kinds = slices.DeleteFunc(kinds, func(k Kind) bool { return k == Disk || k == Folder })
	}
	var list []Fault
	for _, kind := range kinds {
		for range 1 + rng.IntN(perKind) {
			f := Fault{Kind: kind, Node: rng.IntN(s.Forwarders), Place: rng.IntN(s.Destinations * s.Endpoints),
				At:    startMargin + time.Duration(rng.Int64N(int64(s.Length-startMargin))),
				Lasts: maxLast/10 + time.Duration(rng.Int64N(int64(maxLast)))}
			f.How = draw(kind, rng)
			if kind == Replace || kind == Late {
				f.Reported = time.Duration(rng.Int64N(int64(maxReportDelay)))
				f.Opens = minOpenDelay + time.Duration(rng.Int64N(int64(maxOpenDelay-minOpenDelay)))
			}
			if kind == Lists {
				f.Opens = minAnswerTime + time.Duration(rng.Int64N(int64(maxAnswerTime-minAnswerTime)))
				f.Reported = time.Duration(rng.Int64N(int64(maxLast)))
			}
			if kind == Discovery {
				f.Lasts = time.Duration(rng.Int64N(int64(maxSilence)))
			}
			list = append(list, f)
			if kind == Disk && slices.Contains(s.Kinds, Kill) && rng.IntN(2) == 0 { // the next process finds what could be recorded
				list = append(list, Fault{Kind: Kill, Node: f.Node, At: f.At + time.Duration(rng.Int64N(int64(f.Lasts)))})
			}
		}
	}
	slices.SortFunc(list, func(a, b Fault) int { return int(a.At - b.At) })
	return list
}

// draw draws the variant of a fault.
func draw(kind Kind, rng *rand.Rand) string {
	pick := func(list ...string) string { return list[rng.IntN(len(list))] }
	switch kind {
	case Disk:
		var words []string
		for _, operation := range faults.DiskOperations {
			if rng.IntN(2) == 0 {
				words = append(words, operation+"="+pick("ENOSPC", "EIO", faults.Short)+pick("", "", "@0.3"))
			}
		}
		if len(words) == 0 {
			words = []string{"write=EIO"}
		}
		return "disk " + strings.Join(words, " ")
	case Clock:
		return pick("-1h", "-3s", "-500ms", "3s", "1h")
	case Accept:
		return "accept " + pick("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "EPROTO") + pick("", "@0.5")
	case Replace:
		return pick(orderTogether, orderWholeList, orderLaterFirst, orderFormerFirst)
	case Late:
		return pick(lateDrain, lateGone, lateOnly)
	case Connecting:
		return pick(endKill, endTerm)
	case Outage:
		return pick(endKill, endTerm, endKillTwice)
	case Lists:
		return pick(listsSlow, listsRefused, listsMoved)
	case Crowd:
		return pick(crowdHalf, crowdSlow, crowdFields, crowdSilent)
	case Connect:
		return "connect " + pick("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH") + pick("", "@0.5")
	}
	return ""
}
