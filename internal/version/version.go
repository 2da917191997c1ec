// Package version identifies what a forwarder runs with: the build, the settings, the operators' file, the endpoint list, and the endpoints that operators have disabled.
// Together they are a [Vector]. The package does no I/O and reads no clock.
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

// Format is the version of a Vector's encoded form. A reader that finds a higher format knows that the encoding contains more than it can read.
const Format = 1

// Digest distinguishes contents. It is not cryptographic: it does not protect against contents that are constructed to collide.
type Digest uint64

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest { return Digest(xxhash.Sum64(text)) }

func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d *Digest) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("%.40q is not a digest: want 16 hexadecimal digits", text)
	}
	*d = Digest(v)
	return nil
}

// Vector is the version of everything that one process of a forwarder runs with.
type Vector struct {
	Format    int       `json:"format"`
	Build     Build     `json:"build"`
	Settings  Contents  `json:"settings"`  // the platform's configuration
	Operators Contents  `json:"operators"` // what operators have set, resolved
	List      List      `json:"list"`      // the endpoint list, as received from discovery
	Disabled  Contents  `json:"left_out"`  // the names of the endpoints that operators have disabled
	Handovers int       `json:"take_over"` // number of hot restarts: 0 for a process that took over from no other, else one more than its predecessor's
	Started   time.Time `json:"started"`   // when this process started
}

// Build identifies the program.
type Build struct {
	Revision string `json:"revision"` // of the source; empty: built outside a repository
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

// Contents identifies the contents of a file as last read.
type Contents struct {
	Digest    Digest `json:"digest"`
	LoadCount int    `json:"times"` // how often contents were put into force since the process started; 0: nothing is set
}

// List identifies the endpoint list in force.
type List struct {
	Index         int64  `json:"index"` // as assigned by the agent; two agents may assign the same index to different lists
	Digest        Digest `json:"digest"`
	AddressDigest Digest `json:"addresses"` // of the endpoints' addresses, which may differ between forwarders
	TargetCount   int    `json:"targets"`
}

// Change is a step from one vector to the next. Apply modifies the vector; it is called where the change takes effect.
type Change struct {
	Cause string
	By    string // the person or component that requested the change, if known
	Apply func(*Vector)
}

// Entry is what a list contains about one endpoint.
type Entry struct {
	Name, Address, Zone, Kind, State string
	Group                            int
	Weight                           float64
	Gone                             bool // the endpoint is no longer in the list
}

// ListTracker maintains the digest of a list that is updated by changes. The cost of an update depends only on the size of the change.
type ListTracker struct {
	digests map[string][2]Digest // by endpoint name: of the entry, and of the address
	list    List
}

// Update applies a complete list or the changes to it, and returns the list now in force.
func (t *ListTracker) Update(index int64, complete bool, entries []Entry) List {
	if t.digests == nil || complete {
		t.digests, t.list = make(map[string][2]Digest, len(entries)), List{}
	}
	t.list.Index = index
	for i := range entries {
		e := &entries[i]
		if old, wasListed := t.digests[e.Name]; wasListed { // the digests are sums, so that an entry can be subtracted again in any order
			t.list.Digest -= old[0]
			t.list.AddressDigest -= old[1]
			delete(t.digests, e.Name)
		}
		if e.Gone {
			continue
		}
		current := [2]Digest{e.digest(), DigestOf([]byte(strconv.Quote(e.Name) + e.Address))}
		t.digests[e.Name] = current
		t.list.Digest += current[0]
		t.list.AddressDigest += current[1]
	}
	t.list.TargetCount = len(t.digests)
	return t.list
}

// digest returns the digest of the entry without its address.
func (e *Entry) digest() Digest {
	text := make([]byte, 0, 96)
	for _, s := range []string{e.Name, e.Zone, e.Kind, e.State} {
		text = append(strconv.AppendQuote(text, s), ' ')
	}
	text = append(strconv.AppendInt(text, int64(e.Group), 10), ' ')
	return DigestOf(strconv.AppendFloat(text, e.Weight, 'g', -1, 64))
}

// DigestOfNames returns the digest of a set of names. It does not depend on their order.
func DigestOfNames(names []string) Digest {
	names = slices.Clone(names)
	slices.Sort(names)
	var b strings.Builder
	for _, n := range names {
		b.WriteString(strconv.Quote(n))
	}
	return DigestOf([]byte(b.String()))
}

// Desired is the version that a fleet is to run. An empty field means that any value will do. The field names and their order are part of a digest that all members must
// compute alike (straggler.Desired): they must not change.
type Desired struct {
	Build     string `json:"build,omitempty"` // its revision, or a prefix of it
	Settings  Digest `json:"settings,omitempty"`
	Operators Digest `json:"operators,omitempty"`
	Index     int64  `json:"index,omitempty"` // the list's lowest acceptable index
	List      Digest `json:"list,omitempty"`  // the list's digest, compared only if the list has exactly the desired index
}

// Empty reports whether no version is desired.
func (d Desired) Empty() bool { return d == Desired{} }

// Mismatch names a part of a vector that differs from the desired version.
type Mismatch string

// The mismatches, each with the way to resolve it.
const (
	BuildMismatch     Mismatch = "build"     // by an upgrade
	SettingsMismatch  Mismatch = "settings"  // by a restart: the platform writes the settings, and they are read at the start
	OperatorsMismatch Mismatch = "operators" // by reading the operators' file again
	ListOutdated      Mismatch = "list"      // by fetching the list from discovery again
	ListDiverged      Mismatch = "diverged"  // by fetching the list again: it has the desired index and different contents
)

// Mismatches returns the parts of the vector that differ from the desired version, in the order in which they are to be resolved.
func (v *Vector) Mismatches(desired Desired) (list []Mismatch) {
	if desired.Index > v.List.Index {
		list = append(list, ListOutdated)
	} else if desired.List != 0 && desired.Index == v.List.Index && desired.List != v.List.Digest {
		list = append(list, ListDiverged)
	}
	if desired.Operators != 0 && desired.Operators != v.Operators.Digest {
		list = append(list, OperatorsMismatch)
	}
	if desired.Settings != 0 && desired.Settings != v.Settings.Digest {
		list = append(list, SettingsMismatch)
	}
	if desired.Build != "" && !strings.HasPrefix(v.Build.Revision, desired.Build) {
		list = append(list, BuildMismatch)
	}
	return list
}
