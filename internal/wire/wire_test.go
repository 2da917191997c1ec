package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

const provisionLine = "PROVISION ForwarderId=forwarder_1 InitSeed=9 Azs=east,west Classes.count=1 " +
	"Classes.0.Name=note Classes.0.Effect=token Classes.0.DedupScope=zone Classes.0.OnTime=500.0 " +
	"Classes.0.Deadline=4000.0 Classes.0.RepeatWindow=900.0 Kinds=shop,bank " +
	"FamilyInfo.SeparateRoutes=false,true FamilyInfo.PerCall=1,4 FamilyInfo.Carriage=0.0,0.5 " +
	"FamilyInfo.Late=halves FamilyInfo.Workers=5 Weights=rough Limits.Cancel=true NeverHeardOf=1\n"

// TestReadBatch checks the settings, the endpoint list and the outcome that are read from a batch.
func TestReadBatch(t *testing.T) {
	in := "BEGIN_BATCH T=10.5 turn=3\n" + provisionLine +
		"DIRECTORY Table=2 Records=1\nTARGET Type=bank OwnerNo=4 Target=t1 Lifecycle=leaving Zone=east Nominal=1.5\n" +
		"PEERS_KNOWN ForwarderId=forwarder_1 Scope=restored Revision=1 Table=2\n" +
		"FINISHED ForwarderId=forwarder_1 Tid=a Try=1 Target=t1 Ending=busy Lag=7.25 Note=300 Load=x0:0.5,x1:2.25,qps:9\n" +
		"FLUSH\n"
	b, err := NewReader(strings.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 10500*time.Microsecond || b.Turn != "3" || len(b.Inputs) != 3 {
		t.Fatalf("batch: %+v", b)
	}
	s := b.Inputs[0].Settings
	c := s.Classes[0]
	if s.Seed != 9 || s.Slots != 5 || s.Weights != decide.RoughWeights || s.Decay != decide.Exponential || !s.MayCancel ||
		c.Effect != decide.Deduplicated || !c.DedupPerZone || c.DedupWindow != 900*time.Millisecond ||
		s.ZoneFee["west"] != 0.5 || s.Kinds[1] != (decide.Kind{Name: "bank", SeparateRoutes: true, MaxBatch: 4}) {
		t.Errorf("settings: %+v", s)
	}
	l := b.Inputs[1].Event.(decide.TargetList)
	if l.Scope != decide.LastKnown || l.Targets[0] != (decide.Target{ID: "t1", Destination: 4, Kind: "bank",
		Zone: "east", State: decide.Draining, Weight: 1.5}) {
		t.Errorf("list: %+v", l)
	}
	o := b.Inputs[2].Event.(decide.Outcome)
	want := decide.Outcome{Message: "a", Attempt: 1, Target: "t1", Result: decide.Overloaded, Latency: 7250 * time.Microsecond,
		RetryAfter: 300 * time.Millisecond, Allowance: decide.Allowance{Reported: true, Remaining: .5, Rate: 2.25}}
	if o != want {
		t.Errorf("outcome: %+v", o)
	}
}

// TestMalformedLines checks that the error for an invalid line names the batch, the
// line and the field.
func TestMalformedLines(t *testing.T) {
	for name, c := range map[string]struct{ line, want string }{
		"not a pair":              {"DROPPED ForwarderId=forwarder_1 Tid", "Tid"},
		"unknown event":           {"WOBBLE ForwarderId=forwarder_1", "WOBBLE"},
		"bad number":              {"ACCEPT ForwarderId=forwarder_1 Tid=a Qos=n CalledNode=1 Left=12x", "Left"},
		"NaN":                     {"ACCEPT ForwarderId=forwarder_1 Tid=a Qos=n CalledNode=1 Left=NaN", "Left"},
		"missing field":           {"ACCEPT ForwarderId=forwarder_1 Qos=n CalledNode=1 Left=1", "Tid"},
		"bad bool":                {"ACCEPT ForwarderId=forwarder_1 Tid=a Qos=n CalledNode=1 Left=1 Again=maybe", "Again"},
		"undeclared list":         {"PEERS_KNOWN ForwarderId=forwarder_1 Scope=update Revision=1 Table=7", "Table"},
		"unknown scope":           {"PEERS_KNOWN ForwarderId=forwarder_1 Scope=some Revision=1 Table=7", "Scope"},
		"table out of range":      {"DIRECTORY Table=16 Records=0", "Table"},
		"unknown result":          {"FINISHED ForwarderId=forwarder_1 Tid=a Try=0 Target=t Ending=fine", "Ending"},
		"bad base64":              {"NEIGHBOUR_SAYS ForwarderId=forwarder_1 SrcPeer=1 Body=%%%", "Body"},
		"bad load report":         {"FINISHED ForwarderId=forwarder_1 Tid=a Try=0 Target=t Ending=done Load=x0", "Load"},
		"bad seed":                {"PROVISION ForwarderId=forwarder_1 InitSeed=-4", "InitSeed"},
		"missing directory entry": {"DIRECTORY Table=1 Records=1", "TARGET"},
	} {
		_, err := NewReader(strings.NewReader("BEGIN_BATCH T=1.0 turn=77\n" + c.line + "\nFLUSH\n")).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "batch 77, line ") {
			t.Errorf("%s: error %v does not name the batch and the field", name, err)
		}
	}
}

// TestEndOfInput checks that only an end between batches is a clean io.EOF.
func TestEndOfInput(t *testing.T) {
	for in, clean := range map[string]bool{
		"": true, "\n": true, "BEGIN_BATCH T=1.0 turn=1\nFLUSH\n\n": true,
		"BEGIN_BATCH T=1.0 turn=1\n": false, "BEGIN_BATCH T=1.0 turn=1\nDIRECTORY Table=1 Records=2\n": false,
		"FLUSH\n": false,
	} {
		r := NewReader(strings.NewReader(in))
		var err error
		for err == nil {
			_, err = r.Next()
		}
		if errors.Is(err, io.EOF) != clean {
			t.Errorf("%q: unexpected error %v", in, err)
		}
	}
}

// TestWriteActions checks the line of each kind of action.
func TestWriteActions(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, a := range []decide.Action{
		decide.Send{Message: "a", Target: "t", Timeout: 80500 * time.Microsecond},
		decide.Refuse{Message: "a", RetryAfter: time.Second}, decide.Fail{Message: "b"},
		decide.Cancel{Message: "c", Attempt: 2}, decide.CloseIdle{Target: "t"},
		decide.Subscribe{}, decide.Wake{After: 25 * time.Millisecond},
	} {
		if err := w.WriteAction("forwarder_3", a); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.EndBatch("12"); err != nil {
		t.Fatal(err)
	}
	want := `SEND ForwarderId=forwarder_3 Tid=a Target=t MaxWait=80.5
BOUNCE ForwarderId=forwarder_3 Tid=a Pause=1000
ERROR ForwarderId=forwarder_3 Tid=b
CANCEL ForwarderId=forwarder_3 Tid=c Try=2
CLOSE_IDLE ForwarderId=forwarder_3 Target=t
LISTEN ForwarderId=forwarder_3 On=1
DEFER ForwarderId=forwarder_3 Mark=wake FromNow=25
END turn=12
`
	if out.String() != want {
		t.Errorf("wrong reply:\n%s", out.String())
	}
}

// FuzzNext checks that no input makes the reader panic, and that each input that it
// accepts has an instance and, if it carries an event, the event.
func FuzzNext(f *testing.F) {
	f.Add("BEGIN_BATCH T=1.0 turn=1\n" + provisionLine + "FLUSH\n")
	f.Add("BEGIN_BATCH T=1.0 turn=1\nDIRECTORY Table=0 Records=1\nTARGET OwnerNo=1 Target=x Lifecycle=active\nFLUSH\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			b, err := r.Next()
			if err != nil {
				return
			}
			for _, i := range b.Inputs {
				if i.Instance == "" || i.Op == OpEvent && i.Event == nil {
					t.Fatalf("input without an instance or an event: %+v", i)
				}
			}
		}
	})
}
