package agent

import (
	stdjson "encoding/json"
	"runtime"
	"sync"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// The entries of a large list are read in three stages, each of which takes about a microsecond an entry: one goroutine finds where each entry ends,
// several decode batches of them, and one hands them on in their order.

const (
	maxBatchEntries = 512
	maxBatchBytes   = 128 << 10 // a batch ends with the entry that exceeds it
	maxDecoders     = 4
)

// streamOptions have lists read as encoding/json reads them: of a name that occurs twice the last one counts, and bytes that are no UTF-8 are replaced.
var streamOptions = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true), json.MatchCaseInsensitiveNames(true))

// entryBatch is some entries of a list, in their order.
type entryBatch struct {
	text    []byte
	ends    []int // of each entry, in text
	decoded []earlyEntry
	done    chan struct{} // of one place: it has been decoded
}

func newEntryBatch() *entryBatch { return &entryBatch{done: make(chan struct{}, 1)} }

func (b *entryBatch) add(value jsontext.Value) {
	b.text = append(b.text, value...)
	b.ends = append(b.ends, len(b.text))
}

func (b *entryBatch) isFull() bool {
	return len(b.ends) == maxBatchEntries || len(b.text) >= maxBatchBytes
}

func (b *entryBatch) reset() {
	if cap(b.text) > 2*maxBatchBytes { // a very long entry is not kept room for
		b.text = nil
	}
	clear(b.decoded)
	b.text, b.ends, b.decoded = b.text[:0], b.ends[:0], b.decoded[:0]
}

func (b *entryBatch) decode() {
	begin := 0
	for _, end := range b.ends {
		b.decoded = append(b.decoded, decodeEntry(b.text[begin:end]))
		begin = end
	}
	b.done <- struct{}{}
}

// decodeEntry decodes one entry. Where something in it has a wrong type encoding/json still fills in the rest, so that the entry can be named.
func decodeEntry(value []byte) (entry earlyEntry) {
	if err := json.Unmarshal(value, &entry.endpoint, streamOptions); err != nil {
		entry.endpoint = Endpoint{}
		entry.malformed = stdjson.Unmarshal(value, &entry.endpoint)
	}
	return entry
}

// entryPipeline decodes batches beside each other and hands their entries on in the order in which the batches came.
type entryPipeline struct {
	put     func(Endpoint, error) error
	free    chan *entryBatch // bounds how many there are
	work    chan *entryBatch
	ordered chan *entryBatch
	running sync.WaitGroup
	failed  chan struct{} // closed once put has failed
	err     error
}

// newEntryPipeline begins to hand entries to put, from another goroutine, until the pipeline is closed.
func newEntryPipeline(put func(Endpoint, error) error) *entryPipeline {
	decoders := min(maxDecoders, runtime.GOMAXPROCS(0))
	batches := 3 * decoders
	p := &entryPipeline{put: put, free: make(chan *entryBatch, batches), work: make(chan *entryBatch, batches), ordered: make(chan *entryBatch, batches),
		failed: make(chan struct{})}
	for range batches {
		p.free <- newEntryBatch()
	}
	for range decoders {
		p.running.Go(func() {
			for batch := range p.work {
				batch.decode()
			}
		})
	}
	p.running.Go(p.handOn)
	return p
}

func (p *entryPipeline) handOn() {
	for batch := range p.ordered {
		<-batch.done
		for i := 0; i < len(batch.decoded) && p.err == nil; i++ {
			if p.err = p.put(batch.decoded[i].endpoint, batch.decoded[i].malformed); p.err != nil {
				close(p.failed)
			}
		}
		batch.reset()
		p.free <- batch
	}
}

func (p *entryPipeline) submit(batch *entryBatch) {
	p.ordered <- batch
	p.work <- batch
}

// hasFailed reports whether an entry was not taken: then there is no use in more.
func (p *entryPipeline) hasFailed() bool {
	select {
	case <-p.failed:
		return true
	default:
		return false
	}
}

// close returns once all that was submitted has been handed on, or an entry was not taken.
func (p *entryPipeline) close() error {
	close(p.work)
	close(p.ordered)
	p.running.Wait()
	return p.err
}

// readEntries reads entries up to the end of their list, or to what can't be read, and hands them on. What came before an error is handed on.
func readEntries(from *jsontext.Decoder, put func(Endpoint, error) error) error {
	pipeline := newEntryPipeline(put)
	readErr := submitEntries(from, pipeline)
	if err := pipeline.close(); err != nil {
		return err
	}
	return readErr
}

func submitEntries(from *jsontext.Decoder, pipeline *entryPipeline) error {
	batch := <-pipeline.free
	defer func() { pipeline.submit(batch) }()
	for from.PeekKind() != jsontext.KindEndArray {
		value, err := from.ReadValue()
		if err != nil {
			return err
		}
		if batch.add(value); batch.isFull() {
			pipeline.submit(batch)
			batch = <-pipeline.free
		}
		if pipeline.hasFailed() {
			return nil
		}
	}
	return nil
}
