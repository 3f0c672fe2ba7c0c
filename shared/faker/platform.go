// Package faker holds small fakes of outside systems for tests.
package faker

import (
	"bytes"
	"context"
	"sync"

	"papayapass.dev/shared/storer"
)

// Platform is an object API with one object, whatever its name, and faults.
type Platform struct {
	mu          sync.Mutex
	object      storer.Object
	down        bool
	loseAnswers bool
	loseBefore  int
	loseAfter   int
	beforePut   func()
}

// SetDown makes all calls fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDropReplies makes each write take effect without an answer, or not.
func (p *Platform) SetDropReplies(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = lose
}

// FailWrites loses a number of writes before they take effect.
func (p *Platform) FailWrites(writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseBefore = writes
}

// DropWriteReplies loses the answers of a number of writes that took effect.
func (p *Platform) DropWriteReplies(writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAfter = writes
}

// BeforePut runs once, before the next write.
func (p *Platform) BeforePut(meddle func()) { p.beforePut = meddle }

// Object returns the object.
func (p *Platform) Object() storer.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.object
}

// Get reads the object.
func (p *Platform) Get(context.Context, string) (storer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.down:
		return storer.Object{}, storer.ErrUnavailable
	case p.object.Version() == 0:
		return storer.Object{}, storer.ErrNotFound
	default:
		return p.object, nil
	}
}

// Put replaces a version of the object.
func (p *Platform) Put(_ context.Context, _ string, ifVersion uint64, value []byte) (uint64, error) {
	if meddle := p.beforePut; meddle != nil {
		p.beforePut = nil
		meddle()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.loseBefore > 0:
		p.loseBefore--
		return 0, storer.ErrUnavailable
	case p.down:
		return 0, storer.ErrUnavailable
	case ifVersion != p.object.Version():
		return 0, storer.ErrConflict
	}
	p.object = storer.NewObject(ifVersion+1, bytes.Clone(value))
	if p.loseAnswers || p.loseAfter > 0 {
		p.loseAfter = max(0, p.loseAfter-1)
		return 0, storer.ErrUnavailable
	}
	return p.object.Version(), nil
}
