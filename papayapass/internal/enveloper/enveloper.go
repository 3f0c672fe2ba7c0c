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
	// PrefixBytes is the size of the prefix that holds the length of the head.
	PrefixBytes = 4
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
	packed, err := e.PackHead(head)
	return append(packed, body...), err
}

// PackHead returns the envelope of a head, which a body may follow.
func (e *Enveloper) PackHead(head any) ([]byte, error) {
	text, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode a head")
	}
	var b bytes.Buffer
	b.Grow(PrefixBytes + len(text)/2)
	b.Write(make([]byte, PrefixBytes))
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
	binary.BigEndian.PutUint32(b.Bytes(), uint32(b.Len()-PrefixBytes))
	return b.Bytes(), nil
}

// HeadLength returns the length of an envelope up to its body, from its first PrefixBytes.
func HeadLength(prefix []byte) (int64, error) {
	n := binary.BigEndian.Uint32(prefix)
	if n > maxHeadBytes {
		return 0, errors.Wrapf(ErrMalformed, "head of %d bytes", n)
	}
	return PrefixBytes + int64(n), nil
}

// Open decodes the head of an envelope and returns its body.
func (e *Enveloper) Open(envelope []byte, head any) ([]byte, error) {
	if len(envelope) < PrefixBytes {
		return nil, errors.Wrap(ErrMalformed, "too short")
	}
	n := binary.BigEndian.Uint32(envelope)
	rest := envelope[PrefixBytes:]
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
