package agent

import (
	stdjson "encoding/json"
	"runtime"
	"sync"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// The entries of a large list are read by a pipeline of three stages, each of which takes about a microsecond per entry: one goroutine finds the end of
// each entry, several decode batches of entries, and one delivers the entries in order.

const (
	maxBatchEntries = 512
	maxBatchBytes   = 128 << 10 // a batch ends with the entry that exceeds this size
	maxDecoders     = 4
)

// streamOptions make lists decode as with encoding/json: the last of duplicate names counts, invalid UTF-8 is replaced, and names match in any case.
var streamOptions = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true), json.MatchCaseInsensitiveNames(true))

// entryBatch holds consecutive entries of a list.
type entryBatch struct {
	text    []byte
	ends    []int // the offset of the end of each entry in text
	decoded []decodedEntry
	done    chan struct{} // of capacity 1; receives a value once the batch is decoded
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
	if cap(b.text) > 2*maxBatchBytes { // the buffer of a very long entry is released
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

// decodeEntry decodes one entry. Where a value in it has a wrong type, encoding/json still fills in the other fields, so that the log can name the entry.
func decodeEntry(value []byte) (entry decodedEntry) {
	if err := json.Unmarshal(value, &entry.endpoint, streamOptions); err != nil {
		entry.endpoint = Endpoint{}
		entry.malformed = stdjson.Unmarshal(value, &entry.endpoint)
	}
	return entry
}

// entryPipeline decodes batches concurrently and delivers their entries in the order in which the batches were submitted.
type entryPipeline struct {
	put     func(Endpoint, error) error
	free    chan *entryBatch // bounds the number of batches
	work    chan *entryBatch
	ordered chan *entryBatch
	workers sync.WaitGroup
	failed  chan struct{} // closed once put has failed
	err     error
}

// newEntryPipeline starts a pipeline that passes entries to put, from a goroutine of its own, until the pipeline is closed.
func newEntryPipeline(put func(Endpoint, error) error) *entryPipeline {
	decoders := min(maxDecoders, runtime.GOMAXPROCS(0))
	batches := 3 * decoders
	p := &entryPipeline{put: put, free: make(chan *entryBatch, batches), work: make(chan *entryBatch, batches), ordered: make(chan *entryBatch, batches),
		failed: make(chan struct{})}
	for range batches {
		p.free <- newEntryBatch()
	}
	for range decoders {
		p.workers.Go(func() {
			for batch := range p.work {
				batch.decode()
			}
		})
	}
	p.workers.Go(p.deliver)
	return p
}

func (p *entryPipeline) deliver() {
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

// hasFailed reports whether put has rejected an entry: further entries are not needed then.
func (p *entryPipeline) hasFailed() bool {
	select {
	case <-p.failed:
		return true
	default:
		return false
	}
}

// close waits until all submitted batches are delivered or put has rejected an entry, and returns the error of put.
func (p *entryPipeline) close() error {
	close(p.work)
	close(p.ordered)
	p.workers.Wait()
	return p.err
}

// readEntries reads entries up to the end of their array, or to the first one that is unreadable, and passes them to put. Entries before an error are
// delivered too.
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
