// Package faker contains fakes of external systems for tests.
package faker

import (
	"bytes"
	"context"
	"sync"

	"papayapass.dev/shared/storer"
)

// Platform is a fake object API with fault injection. It has one object, which all
// names refer to.
type Platform struct {
	mu               sync.Mutex
	object           storer.Object
	down             bool
	dropReplies      bool
	failWrites       int
	dropWriteReplies int
	beforePut        func()
}

// SetDown sets whether all calls fail.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDropReplies sets whether writes that take effect return ErrUnavailable.
func (p *Platform) SetDropReplies(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropReplies = drop
}

// FailWrites makes a number of writes, from the next one, fail without taking effect.
func (p *Platform) FailWrites(writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failWrites = writes
}

// DropWriteReplies makes a number of writes, from the next one, take effect but return
// ErrUnavailable.
func (p *Platform) DropWriteReplies(writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropWriteReplies = writes
}

// BeforePut sets a function that runs once, before the next write.
func (p *Platform) BeforePut(hook func()) { p.beforePut = hook }

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
	if hook := p.beforePut; hook != nil {
		p.beforePut = nil
		hook()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.failWrites > 0:
		p.failWrites--
		return 0, storer.ErrUnavailable
	case p.down:
		return 0, storer.ErrUnavailable
	case ifVersion != p.object.Version():
		return 0, storer.ErrConflict
	}
	p.object = storer.NewObject(ifVersion+1, bytes.Clone(value))
	if p.dropReplies || p.dropWriteReplies > 0 {
		p.dropWriteReplies = max(0, p.dropWriteReplies-1)
		return 0, storer.ErrUnavailable
	}
	return p.object.Version(), nil
}
