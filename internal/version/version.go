// Package version says under what a forwarder acts: which program, settings, operators' file, list of targets, and which of those by hand.
// All of it together is a [Vector]. It does no I/O and reads no clock.
package version

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Format is the version of a Vector's written form. What reads one with a higher format knows that there is more in it than it sees.
const Format = 1

// Digest tells contents apart. It is no protection against contents made to collide.
type Digest uint64

// DigestOf is the digest of a text.
func DigestOf(text []byte) Digest { return Digest(xxhash.Sum64(text)) }

func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d *Digest) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("%.40q is no digest: 16 hexadecimal digits", text)
	}
	*d = Digest(v)
	return nil
}

// Vector is what one process of a forwarder acts under.
type Vector struct {
	Format    int       `json:"format"`
	Build     Build     `json:"build"`
	Settings  Contents  `json:"settings"`  // the platform's configuration
	Operators Contents  `json:"operators"` // what operators have set, resolved
	List      List      `json:"list"`      // of targets, as discovery tells it
	Disabled  Contents  `json:"left_out"`  // targets left out by hand
	Handovers int       `json:"take_over"` // 0 for a process that took over from none, and one more than the process that it took over from
	Started   time.Time `json:"started"`   // this process
}

// Build is a program.
type Build struct {
	Revision string `json:"revision"` // empty: it was built outside a repository
	Dirty    bool   `json:"dirty,omitempty"`
}

func (b Build) String() string {
	text := cmp.Or(b.Revision, "unknown")
	if len(text) > 12 {
		text = text[:12]
	}
	if b.Dirty {
		text += "+changes"
	}
	return text
}

// Contents is a file as it was read last.
type Contents struct {
	Digest    Digest `json:"digest"`
	LoadCount int    `json:"times"` // it was taken into force since the process started; 0: nothing is set
}

// List is a list of targets that is in force.
type List struct {
	Index         int64  `json:"index"` // as the agent says; two agents may give one index to different lists
	Digest        Digest `json:"digest"`
	AddressDigest Digest `json:"addresses"` // where the targets are, which may differ from one forwarder to the next
	TargetCount   int    `json:"targets"`
}

// Change is a step from one vector to the next. Make is called where it takes effect, and changes it.
type Change struct {
	Cause string
	By    string // who wanted it, if somebody did
	Apply func(*Vector)
}

// Entry is what a list says of one target.
type Entry struct {
	Name, Address, Zone, Kind, State string
	Group                            int
	Weight                           float64
	Gone                             bool // it is in the list no more
}

// ListTracker keeps the digest of a list that is told by changes, at a cost that depends on these alone.
type ListTracker struct {
	of   map[string][2]Digest
	list List
}

// Update takes a list, the whole of it or what has changed, and returns what is in force from then on.
func (t *ListTracker) Update(index int64, whole bool, entries []Entry) List {
	if t.of == nil || whole {
		t.of, t.list = make(map[string][2]Digest, len(entries)), List{}
	}
	t.list.Index = index
	for i := range entries {
		e := &entries[i]
		if old, was := t.of[e.Name]; was { // sums: what went in comes out, in any order
			t.list.Digest -= old[0]
			t.list.AddressDigest -= old[1]
			delete(t.of, e.Name)
		}
		if e.Gone {
			continue
		}
		now := [2]Digest{e.digest(), DigestOf([]byte(strconv.Quote(e.Name) + e.Address))}
		t.of[e.Name] = now
		t.list.Digest += now[0]
		t.list.AddressDigest += now[1]
	}
	t.list.TargetCount = len(t.of)
	return t.list
}

func (e *Entry) digest() Digest {
	text := make([]byte, 0, 96)
	for _, s := range []string{e.Name, e.Zone, e.Kind, e.State} {
		text = append(strconv.AppendQuote(text, s), ' ')
	}
	text = append(strconv.AppendInt(text, int64(e.Group), 10), ' ')
	return DigestOf(strconv.AppendFloat(text, e.Weight, 'g', -1, 64))
}

// DigestOfNames is the digest of a set of names, in any order.
func DigestOfNames(names []string) Digest {
	names = slices.Clone(names)
	slices.Sort(names)
	var b strings.Builder
	for _, n := range names {
		b.WriteString(strconv.Quote(n))
	}
	return DigestOf([]byte(b.String()))
}

// Desired is what a fleet is to act under. What is empty does not matter.
type Desired struct {
	Build     string `json:"build,omitempty"` // its revision, or how that begins
	Settings  Digest `json:"settings,omitempty"`
	Operators Digest `json:"operators,omitempty"`
	Index     int64  `json:"index,omitempty"` // of the list: at least this
	List      Digest `json:"list,omitempty"`  // what that list is, where its index is the one that is wanted
}

// Empty tells whether nothing is wanted.
func (w Desired) Empty() bool { return w == Desired{} }

// Mismatch is a part of a vector that is not as it is wanted.
type Mismatch string

// What can be behind.
const (
	BuildMismatch     Mismatch = "build"     // an upgrade mends it
	SettingsMismatch  Mismatch = "settings"  // the platform writes them; they are read at a start
	OperatorsMismatch Mismatch = "operators" // the file is read again
	ListOutdated      Mismatch = "list"      // discovery is asked again
	ListDiverged      Mismatch = "diverged"  // the list has the wanted index and other contents
)

// Mismatches lists what of a vector is not as wanted, in the order in which it is to be mended.
func (v *Vector) Mismatches(w Desired) (list []Mismatch) {
	if w.Index > v.List.Index {
		list = append(list, ListOutdated)
	} else if w.List != 0 && w.Index == v.List.Index && w.List != v.List.Digest {
		list = append(list, ListDiverged)
	}
	if w.Operators != 0 && w.Operators != v.Operators.Digest {
		list = append(list, OperatorsMismatch)
	}
	if w.Settings != 0 && w.Settings != v.Settings.Digest {
		list = append(list, SettingsMismatch)
	}
	if w.Build != "" && !strings.HasPrefix(v.Build.Revision, w.Build) {
		list = append(list, BuildMismatch)
	}
	return list
}
