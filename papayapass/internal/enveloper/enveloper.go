// Package enveloper packs messages between nodes: a head that is encoded and compressed
// with a dictionary, and an unchanged body. Traffic between zones is charged, and heads
// resemble each other.
package enveloper

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
)

const (
	// prefixBytes is the size of the prefix that holds the length of the head.
	prefixBytes = 4
	// maxHeadBytes is the largest head, compressed or not.
	maxHeadBytes = 8 << 20
	// compressionLevel is the fastest; with a dictionary, it compresses heads as well as
	// higher levels do.
	compressionLevel = flate.BestSpeed
)

// ErrMalformed means that an envelope cannot be opened.
var ErrMalformed = errors.New("malformed envelope")

// Enveloper packs and opens envelopes. All nodes of a deployment use the same dictionary.
type Enveloper struct {
	dictionary []byte
	writers    sync.Pool
	readers    sync.Pool
}

// NewEnveloper returns an enveloper; the dictionary is sample text of heads, with the most
// frequent text last.
func NewEnveloper(dictionary string) *Enveloper {
	return &Enveloper{dictionary: []byte(dictionary)}
}

// Pack returns the envelope of a head and a body.
func (e *Enveloper) Pack(head any, body []byte) ([]byte, error) {
	text, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode a head")
	}
	var b bytes.Buffer
	b.Grow(prefixBytes + len(text)/2 + len(body))
	b.Write(make([]byte, prefixBytes))
	w, ok := e.writers.Get().(*flate.Writer)
	if ok {
		w.Reset(&b) // keeps the dictionary
	} else if w, err = flate.NewWriterDict(&b, compressionLevel, e.dictionary); err != nil {
		return nil, errors.Wrap(err, "make a compressor")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress a head")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a head")
	}
	e.writers.Put(w)
	binary.BigEndian.PutUint32(b.Bytes(), uint32(b.Len()-prefixBytes))
	b.Write(body)
	return b.Bytes(), nil
}

// Open decodes the head of an envelope and returns its body.
func (e *Enveloper) Open(envelope []byte, head any) ([]byte, error) {
	if len(envelope) < prefixBytes {
		return nil, errors.Wrap(ErrMalformed, "too short")
	}
	n := binary.BigEndian.Uint32(envelope)
	rest := envelope[prefixBytes:]
	if n > maxHeadBytes || int(n) > len(rest) {
		return nil, errors.Wrapf(ErrMalformed, "head of %d bytes in %d", n, len(rest))
	}
	packed := bytes.NewReader(rest[:n])
	r, ok := e.readers.Get().(io.ReadCloser)
	if !ok {
		r = flate.NewReaderDict(packed, e.dictionary)
	} else if err := r.(flate.Resetter).Reset(packed, e.dictionary); err != nil {
		return nil, errors.Wrap(err, "reset a decompressor")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxHeadBytes+1))
	if err != nil || len(text) > maxHeadBytes {
		return nil, errors.Wrap(ErrMalformed, "the head cannot be decompressed")
	}
	e.readers.Put(r)
	if err := json.Unmarshal(text, head); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode a head"), ErrMalformed)
	}
	return rest[n:], nil
}
