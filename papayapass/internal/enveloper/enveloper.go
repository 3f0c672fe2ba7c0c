// Package enveloper packs what nodes send each other: a head that is encoded and
// compressed against a dictionary, and a body as it is. Bytes between zones are paid
// for, and heads are alike.
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
	// headLength is the length of the head's length, in bytes.
	headLength = 4
	// maxHead bounds a head, packed and unpacked.
	maxHead = 8 << 20
	// level is the fastest; it packs heads as small as higher ones against a dictionary.
	level = flate.BestSpeed
)

// ErrMalformed means that an envelope cannot be opened.
var ErrMalformed = errors.New("malformed envelope")

// Enveloper packs and opens envelopes. Nodes of one deployment use one dictionary.
type Enveloper struct {
	dictionary []byte
	writers    sync.Pool
	readers    sync.Pool
}

// NewEnveloper returns an enveloper; the dictionary is text as it occurs in heads,
// the most frequent last.
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
	b.Grow(headLength + len(text)/2 + len(body))
	b.Write(make([]byte, headLength))
	w, ok := e.writers.Get().(*flate.Writer)
	if ok {
		w.Reset(&b) // keeps the dictionary
	} else if w, err = flate.NewWriterDict(&b, level, e.dictionary); err != nil {
		return nil, errors.Wrap(err, "make a compressor")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress a head")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a head")
	}
	e.writers.Put(w)
	binary.BigEndian.PutUint32(b.Bytes(), uint32(b.Len()-headLength))
	b.Write(body)
	return b.Bytes(), nil
}

// Open decodes the head of an envelope and returns its body.
func (e *Enveloper) Open(envelope []byte, head any) ([]byte, error) {
	if len(envelope) < headLength {
		return nil, errors.Wrap(ErrMalformed, "too short")
	}
	n := binary.BigEndian.Uint32(envelope)
	rest := envelope[headLength:]
	if n > maxHead || int(n) > len(rest) {
		return nil, errors.Wrapf(ErrMalformed, "head of %d bytes in %d", n, len(rest))
	}
	packed := bytes.NewReader(rest[:n])
	r, ok := e.readers.Get().(io.ReadCloser)
	if !ok {
		r = flate.NewReaderDict(packed, e.dictionary)
	} else if err := r.(flate.Resetter).Reset(packed, e.dictionary); err != nil {
		return nil, errors.Wrap(err, "reset a decompressor")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxHead+1))
	if err != nil || len(text) > maxHead {
		return nil, errors.Wrap(ErrMalformed, "the head cannot be decompressed")
	}
	e.readers.Put(r)
	if err := json.Unmarshal(text, head); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode a head"), ErrMalformed)
	}
	return rest[n:], nil
}
