package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/jsontext"
	"pgregory.net/rapid"
)

// readAllEntries reads the text of a list and returns the entries that reached the sink.
func readAllEntries(text string) (entries []decodedEntry, err error) {
	r := &listReader{wholeRequested: true, accept: func(int64, bool) error { return nil }, sink: &collectingSink{entries: &entries}}
	err = r.read(jsontext.NewDecoder(strings.NewReader(text), streamOptions))
	return entries, err
}

// collectingSink keeps the entries that it receives.
type collectingSink struct{ entries *[]decodedEntry }

func (s *collectingSink) Begin(int64, bool) error { return nil }
func (s *collectingSink) Put(e Endpoint, malformed error) {
	*s.entries = append(*s.entries, decodedEntry{e, malformed})
}
func (s *collectingSink) Commit() {}

// drawEntryText draws the text of an entry, valid or not.
func drawEntryText(t *rapid.T) string {
	return rapid.SampledFrom([]string{
		`{"name":"a","address":"127.0.0.1:1","zone":"z","type":"std","group":7,"status":"SERVING","weight":1.5,"since_ms":0}`,
		`{"name":"b\u00e4\n","group":1,"more":{"x":[1,{"y":null}]}}`, `{"group":"x","name":"c","weight":2}`, `{"name":3,"address":"127.0.0.1:2"}`, `{"name":"d","name":"e"}`,
		`{"NAME":"f","Group":3}`, `{"name":null,"group":null}`, `{}`, `null`, `[]`, `"g"`, `4`, `{"name":"h","group":1e3}`, `{"name":"i","group":1.5,"zone":"z"}`,
		"{\"name\":\"\xff\xfe\"}", `{"name":"\ud800"}`, `{"name":"j","weight":1e400}`, `{"name":"k","group":99999999999999999999,"zone":"y"}`,
		`{"name":"` + strings.Repeat("l", 3*maxBatchBytes) + `"}`, ` { "name" : "m" } `,
	}).Draw(t, "entry")
}

// TestEntriesMatchEncodingJSON checks that entries of every kind, over any number of batches, are delivered in order, and decoded as encoding/json
// decodes them one by one.
func TestEntriesMatchEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.Custom(drawEntryText), 0, 20).Draw(t, "entries")
		for i := range rapid.SampledFrom([]int{0, 1, maxBatchEntries - 1, maxBatchEntries, 9 * maxBatchEntries}).Draw(t, "more") {
			texts = slices.Insert(texts, i%(len(texts)+1), fmt.Sprintf(`{"name":"n%d"}`, i))
		}
		var want []decodedEntry
		for _, text := range texts {
			var e decodedEntry
			e.malformed = json.Unmarshal([]byte(text), &e.endpoint)
			want = append(want, e)
		}
		got, err := readAllEntries(`{"index":4,"snapshot":true,"endpoints":[` + strings.Join(texts, ",") + `]}`)
		if err != nil || len(got) != len(want) {
			t.Fatalf("%d of %d entries are delivered: %v", len(got), len(want), err)
		}
		for i := range want {
			if got[i].endpoint != want[i].endpoint || (got[i].malformed == nil) != (want[i].malformed == nil) {
				t.Fatalf("entry %d: %+v, want %+v", i, got[i], want[i])
			}
		}
	})
}

// TestEntriesOfTruncatedList checks that a list that ends at any byte before its last is an error, and that the entries that are complete by then are
// delivered.
func TestEntriesOfTruncatedList(t *testing.T) {
	const head = `{"index":4,"snapshot":true,"endpoints":[`
	entries := []string{`{"name":"a","zone":"\u00e4"}`, ` {"name":"b","more":[1]}`, `{"name":"c"}`}
	text := head + strings.Join(entries, ",") + "] }"
	if got, err := readAllEntries(text); err != nil || len(got) != 3 {
		t.Fatal(got, err)
	}
	for cut := range len(text) {
		complete, end := 0, len(head)
		for _, e := range entries {
			if end += len(e); cut >= end {
				complete++
			}
			end++ // the comma
		}
		if got, err := readAllEntries(text[:cut]); err == nil || len(got) != complete {
			t.Errorf("cut at %d: %d entries, want %d; %v", cut, len(got), complete, err)
		}
	}
}

// TestEntriesStopAfterRejection checks that no entry is delivered after one that put has rejected, even if others are still being decoded.
func TestEntriesStopAfterRejection(t *testing.T) {
	errRejected := errors.New("rejected")
	text := "[" + strings.Repeat(`{"name":"a"},`, 20*maxBatchEntries) + `{"name":"a"}]`
	from := jsontext.NewDecoder(strings.NewReader(text), streamOptions)
	if err := expectKind(from, jsontext.KindBeginArray); err != nil {
		t.Fatal(err)
	}
	accepted := 0
	err := readEntries(from, func(Endpoint, error) error {
		if accepted == maxBatchEntries+7 {
			return errRejected
		}
		accepted++
		return nil
	})
	if !errors.Is(err, errRejected) || accepted != maxBatchEntries+7 {
		t.Errorf("%v after %d entries", err, accepted)
	}
}
