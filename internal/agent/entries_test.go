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

// readAll reads a list's text, and is what was handed on of it.
func readAll(text string) (entries []earlyEntry, err error) {
	r := &listReader{whole: true, accept: func(int64, bool) error { return nil }, sink: &collectingSink{entries: &entries}}
	err = r.read(jsontext.NewDecoder(strings.NewReader(text), streamOptions))
	return entries, err
}

// collectingSink keeps what it is handed.
type collectingSink struct{ entries *[]earlyEntry }

func (s *collectingSink) Begin(int64, bool) error { return nil }
func (s *collectingSink) Put(e Endpoint, malformed error) {
	*s.entries = append(*s.entries, earlyEntry{e, malformed})
}
func (s *collectingSink) Commit() {}

// drawEntryText is an entry as discovery might send it, also wrongly.
func drawEntryText(t *rapid.T) string {
	return rapid.SampledFrom([]string{
		`{"name":"a","address":"127.0.0.1:1","zone":"z","type":"std","group":7,"status":"SERVING","weight":1.5,"since_ms":0}`,
		`{"name":"b\u00e4\n","group":1,"more":{"x":[1,{"y":null}]}}`, `{"group":"x","name":"c","weight":2}`, `{"name":3,"address":"127.0.0.1:2"}`, `{"name":"d","name":"e"}`,
		`{"NAME":"f","Group":3}`, `{"name":null,"group":null}`, `{}`, `null`, `[]`, `"g"`, `4`, `{"name":"h","group":1e3}`, `{"name":"i","group":1.5,"zone":"z"}`,
		"{\"name\":\"\xff\xfe\"}", `{"name":"\ud800"}`, `{"name":"j","weight":1e400}`, `{"name":"k","group":99999999999999999999,"zone":"y"}`,
		`{"name":"` + strings.Repeat("l", 3*maxBatchBytes) + `"}`, ` { "name" : "m" } `,
	}).Draw(t, "entry")
}

// TestEntriesAsBefore: entries of every kind, over any number of batches, are handed on in their order, and as encoding/json reads them one by one.
func TestEntriesAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.Custom(drawEntryText), 0, 20).Draw(t, "entries")
		for i := range rapid.SampledFrom([]int{0, 1, maxBatchEntries - 1, maxBatchEntries, 9 * maxBatchEntries}).Draw(t, "more") {
			texts = slices.Insert(texts, i%(len(texts)+1), fmt.Sprintf(`{"name":"n%d"}`, i))
		}
		var want []earlyEntry
		for _, text := range texts {
			var e earlyEntry
			e.malformed = json.Unmarshal([]byte(text), &e.endpoint)
			want = append(want, e)
		}
		got, err := readAll(`{"index":4,"snapshot":true,"endpoints":[` + strings.Join(texts, ",") + `]}`)
		if err != nil || len(got) != len(want) {
			t.Fatalf("%d entries are handed on, of %d: %v", len(got), len(want), err)
		}
		for i := range want {
			if got[i].endpoint != want[i].endpoint || (got[i].malformed == nil) != (want[i].malformed == nil) {
				t.Fatalf("entry %d: %+v, want %+v", i, got[i], want[i])
			}
		}
	})
}

// TestEntriesCutAnywhere: a list that ends at any byte before its last is an error, and the whole entries before that byte are handed on.
func TestEntriesCutAnywhere(t *testing.T) {
	const head = `{"index":4,"snapshot":true,"endpoints":[`
	entries := []string{`{"name":"a","zone":"\u00e4"}`, ` {"name":"b","more":[1]}`, `{"name":"c"}`}
	text := head + strings.Join(entries, ",") + "] }"
	if got, err := readAll(text); err != nil || len(got) != 3 {
		t.Fatal(got, err)
	}
	for cut := range len(text) {
		whole, end := 0, len(head)
		for _, e := range entries {
			if end += len(e); cut >= end {
				whole++
			}
			end++ // the comma
		}
		if got, err := readAll(text[:cut]); err == nil || len(got) != whole {
			t.Errorf("cut at %d: %d entries, want %d; %v", cut, len(got), whole, err)
		}
	}
}

// TestEntriesNotTaken: once an entry is not taken no other is handed on, whatever is still being decoded.
func TestEntriesNotTaken(t *testing.T) {
	errNotTaken := errors.New("not this one")
	text := "[" + strings.Repeat(`{"name":"a"},`, 20*maxBatchEntries) + `{"name":"a"}]`
	from := jsontext.NewDecoder(strings.NewReader(text), streamOptions)
	if err := expectKind(from, jsontext.KindBeginArray); err != nil {
		t.Fatal(err)
	}
	taken := 0
	err := readEntries(from, func(Endpoint, error) error {
		if taken == maxBatchEntries+7 {
			return errNotTaken
		}
		taken++
		return nil
	})
	if !errors.Is(err, errNotTaken) || taken != maxBatchEntries+7 {
		t.Errorf("%v after %d entries", err, taken)
	}
}
