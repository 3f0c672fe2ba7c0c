// Package fingerprinter computes fingerprints of requests, by which repeats of a request are
// recognized whatever their ids.
package fingerprinter

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Request is what makes two requests the same to a backend server.
type Request struct {
	// Caller is the service of the instance that received the request from the customer.
	Caller string
	Method string
	Host   string
	// URI is the path with the query.
	URI  string
	Key  uint16
	Body []byte
}

// Fingerprint is the same for all repeats of a request, at all nodes.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Sum returns the fingerprint of a request.
func Sum(r Request) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{r.Caller, r.Method, r.Host, r.URI} {
		writeNumber(&d, len(s)) // keeps "a", "bc" apart from "ab", "c"
		_, _ = d.WriteString(s) // never fails
	}
	writeNumber(&d, int(r.Key))
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

func writeNumber(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}
