package main

import (
	"bytes"
	"strings"
	"testing"
)

const startBatch = "BEGIN_BATCH T=0.0 turn=1\n" +
	"PROVISION ForwarderId=forwarder_1 InitSeed=9 Classes.count=1 Classes.0.Name=note Classes.0.Effect=pure " +
	"Classes.0.OnTime=500.0 Classes.0.Deadline=4000.0 Classes.0.Worth=1.0 Kinds=shop FamilyInfo.Workers=5 Siblings=1\n" +
	"DIRECTORY Table=0 Records=1\nTARGET Type=shop OwnerNo=4 Target=t1 Lifecycle=active\n" +
	"PEERS_KNOWN ForwarderId=forwarder_1 Scope=restored Revision=1 Table=0\nFLUSH\n"

// TestTranscript compares the replies to a short session with the expected lines.
func TestTranscript(t *testing.T) {
	in := startBatch + "\nBEGIN_BATCH T=5.0 turn=2\n" +
		"ACCEPT ForwarderId=forwarder_1 Tid=a Qos=note CalledNode=4 Left=4000.0\nFLUSH\n" +
		"BEGIN_BATCH T=90.0 turn=3\nFINISHED ForwarderId=forwarder_1 Tid=a Try=0 Target=t1 Ending=done Lag=85.0 NoMore=1\nFLUSH\n" +
		"BEGIN_BATCH T=95.0 turn=4\nDETACH ForwarderId=forwarder_1\nFLUSH\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	want := "END turn=1\n" +
		"SEND ForwarderId=forwarder_1 Tid=a Target=t1 MaxWait=4000\n" +
		"DEFER ForwarderId=forwarder_1 Mark=wake FromNow=1600\nEND turn=2\nEND turn=3\nEND turn=4\n"
	if out.String() != want {
		t.Errorf("wrong replies:\n%s", out.String())
	}
}

// TestInvalidBatch checks that an invalid batch ends the run with an error that names
// the batch, and that no part of a reply is written for it.
func TestInvalidBatch(t *testing.T) {
	for _, invalid := range []string{
		"DROPPED ForwarderId=forwarder_8 Tid=a\n", "DROPPED ForwarderId=forwarder_1\n",
		"PROVISION ForwarderId=forwarder_2 InitSeed=1 Classes.count=0\n",
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(startBatch+"BEGIN_BATCH T=5.0 turn=2\n"+invalid+"FLUSH\n"), &out)
		if err == nil || !strings.Contains(err.Error(), "batch 2") || out.String() != "END turn=1\n" {
			t.Errorf("%q: error %v, output %q", invalid, err, out.String())
		}
	}
}
