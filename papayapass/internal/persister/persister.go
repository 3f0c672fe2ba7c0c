// Package persister stores the ownership table of a cell in the platform's
// object API.
package persister

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/storer"
)

// callTimeout limits one call to the platform.
const callTimeout = 500 * time.Millisecond

// writeAttempts is the maximum number of attempts to write one table while
// other writes interfere.
const writeAttempts = 3

// objectPrefix is followed by the cell's name in the object's name.
const objectPrefix = "papayapass/cells/"

// Platform is the part of the object API that a persister uses.
type Platform interface {
	// Get reads an object.
	Get(ctx context.Context, name string) (storer.Object, error)
	// Put replaces a given version of an object.
	Put(ctx context.Context, name string, ifVersion uint64, value []byte) (uint64, error)
}

// Persister reads and writes the table of one cell. It must be used by one
// goroutine at a time.
type Persister struct {
	platform Platform
	name     string
	writer   string
	writes   atomic.Uint64
	version  uint64
}

// NewPersister returns a persister for a cell. The writer's name must be unique
// to one start of one node.
func NewPersister(platform Platform, cell, writer string) *Persister {
	return &Persister{platform: platform, name: objectPrefix + cell, writer: writer}
}

// Read returns the stored table, or nil if there is none.
func (p *Persister) Read(ctx context.Context) (*assigner.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := p.platform.Get(ctx, p.name)
	if errors.Is(err, storer.ErrNotFound) {
		p.version = 0
		return nil, nil //nolint:nilnil // no table is a regular state of the platform
	}
	if err != nil {
		return nil, err
	}
	t, err := decode(object.Value())
	if err != nil {
		return nil, err
	}
	p.version = object.Version()
	return t, nil
}

// Write stores a table. If a write fails or its response is lost, it reads the
// table back and compares the write identifier.
func (p *Persister) Write(ctx context.Context, t *assigner.Table) coordinator.StoreResult {
	t, value, err := p.prepare(t)
	if err != nil {
		return coordinator.StoreUnknown
	}
	for range writeAttempts {
		version, err := p.put(ctx, value)
		if err == nil {
			p.version = version
			return coordinator.StoreDone
		}
		if mutator.Active(mutator.TrustLostWrite) && errors.Is(err, storer.ErrUnavailable) {
			return coordinator.StoreDone
		}
		stored, err := p.Read(ctx)
		if err != nil {
			return coordinator.StoreUnknown
		}
		if stored == nil {
			continue
		}
		if stored.WriteID() == t.WriteID() {
			return coordinator.StoreDone
		}
		if supersedes(stored, t) {
			return coordinator.StoreSuperseded
		}
	}
	return coordinator.StoreUnknown
}

// Create stores the first table of a cell. StoreSuperseded means that another
// node was first.
func (p *Persister) Create(ctx context.Context, t *assigner.Table) coordinator.StoreResult {
	t, value, err := p.prepare(t)
	if err != nil {
		return coordinator.StoreUnknown
	}
	p.version = 0
	version, err := p.put(ctx, value)
	if err == nil {
		p.version = version
		return coordinator.StoreDone
	}
	stored, err := p.Read(ctx)
	if err != nil || stored == nil {
		return coordinator.StoreUnknown
	}
	if stored.WriteID() == t.WriteID() {
		return coordinator.StoreDone
	}
	return coordinator.StoreSuperseded
}

// prepare gives a copy of a table the next write identifier and encodes it.
func (p *Persister) prepare(t *assigner.Table) (*assigner.Table, []byte, error) {
	t = t.Clone()
	t.SetWriteID(p.writer + "-" + strconv.FormatUint(p.writes.Add(1), 10))
	value, err := encode(t)
	return t, value, err
}

// supersedes reports whether a stored table comes from a coordinator that takes
// precedence over the coordinator of t.
func supersedes(stored, t *assigner.Table) bool {
	if stored.Epoch() != t.Epoch() {
		return stored.Epoch() > t.Epoch()
	}
	return stored.Coordinator() != t.Coordinator()
}

func (p *Persister) put(ctx context.Context, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.platform.Put(ctx, p.name, p.version, value)
}

func encode(t *assigner.Table) ([]byte, error) {
	return protojson.Marshal(assigner.Encode(t))
}

func decode(value []byte) (*assigner.Table, error) {
	var m wirepb.Table
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(value, &m); err != nil {
		return nil, errors.Wrap(err, "decode the cell's object")
	}
	return assigner.Decode(&m), nil
}
