// Package editor applies operators' changes to the configuration in the platform.
package editor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/storer"
)

// FormatVersion is the version of the format in which configurations are written.
const FormatVersion = 1

const (
	callTimeout    = 3 * time.Second
	changeAttempts = 8
	writeIDBytes   = 12
)

// ErrConflict means that another operator changed the configuration concurrently.
var ErrConflict = errors.New("the configuration was changed by someone else meanwhile")

// ErrUncertain means that the change is in doubt: the platform did not confirm it.
var ErrUncertain = errors.New("the platform did not answer, the change may or may not be in force")

// Platform is the part of the object API that an editor uses.
type Platform interface {
	// Get reads an object.
	Get(ctx context.Context, name string) (storer.Object, error)
	// Put replaces a version of an object.
	Put(ctx context.Context, name string, ifVersion uint64, value []byte) (uint64, error)
}

// Editor reads and changes the configuration on behalf of an author.
type Editor struct {
	platform Platform
	author   string
}

// NewEditor returns an editor whose changes carry the name of an author.
func NewEditor(p Platform, author string) *Editor {
	return &Editor{platform: p, author: author}
}

// Load returns the configuration and the version of its object, or an empty
// configuration and zero if there is none.
func (e *Editor) Load(ctx context.Context) (*wirepb.Configuration, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := e.platform.Get(ctx, keeper.ConfigurationObject)
	if errors.Is(err, storer.ErrNotFound) {
		return &wirepb.Configuration{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the configuration")
	}
	cfg, err := keeper.DecodeConfiguration(object.Value())
	return cfg, object.Version(), err
}

// SetRules replaces the rules if the configuration still has version base, which is
// zero for the first configuration, and returns ErrConflict otherwise.
func (e *Editor) SetRules(ctx context.Context, rules string, base uint64) (uint64, error) {
	cfg, objectVersion, err := e.Load(ctx)
	if err != nil {
		return 0, err
	}
	if cfg.GetVersion() != base {
		return 0, errors.Wrapf(ErrConflict, "version %d is now %d by %s", base, cfg.GetVersion(), cfg.GetAuthor())
	}
	cfg.Rules = rules
	return e.write(ctx, cfg, objectVersion)
}

// Edit modifies a configuration in place and reports whether it changed.
type Edit func(cfg *wirepb.Configuration) bool

// Change applies an edit that is independent of concurrent changes, so it retries
// after a conflict.
func (e *Editor) Change(ctx context.Context, edit Edit) (uint64, error) {
	for range changeAttempts {
		cfg, objectVersion, err := e.Load(ctx)
		if err != nil {
			return 0, err
		}
		if !edit(cfg) {
			return cfg.GetVersion(), nil
		}
		version, err := e.write(ctx, cfg, objectVersion)
		if !errors.Is(err, ErrConflict) {
			return version, err
		}
	}
	return 0, errors.Wrapf(ErrConflict, "%d attempts", changeAttempts)
}

// write stores a changed configuration. If the write fails or is in doubt, it reads the
// configuration back and compares the write id.
func (e *Editor) write(ctx context.Context, cfg *wirepb.Configuration, objectVersion uint64) (uint64, error) {
	cfg.Format = FormatVersion
	cfg.Version++
	cfg.Author = e.author
	cfg.WriteId = newWriteID()
	cfg.WrittenUnixMillis = time.Now().UnixMilli()
	value, err := keeper.EncodeConfiguration(cfg)
	if err != nil {
		return 0, err
	}
	if err := e.put(ctx, objectVersion, value); err == nil {
		return cfg.GetVersion(), nil
	} else if errors.Is(err, storer.ErrTooLarge) {
		return 0, err
	}
	stored, _, err := e.Load(ctx)
	switch {
	case err != nil:
		return 0, errors.CombineErrors(ErrUncertain, err)
	case stored.GetWriteId() == cfg.GetWriteId():
		return cfg.GetVersion(), nil
	case stored.GetVersion() >= cfg.GetVersion():
		return 0, errors.Wrapf(ErrConflict, "version %d is by %s", stored.GetVersion(), stored.GetAuthor())
	default:
		return 0, ErrUncertain
	}
}

func (e *Editor) put(ctx context.Context, objectVersion uint64, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := e.platform.Put(ctx, keeper.ConfigurationObject, objectVersion, value)
	return err
}

func newWriteID() string {
	var b [writeIDBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails
	return hex.EncodeToString(b[:])
}

// SetZone returns the edit that takes a zone out of service or back in.
func SetZone(zone string, out bool) Edit {
	return func(cfg *wirepb.Configuration) bool {
		list, changed := setOut(cfg.GetZonesOut(), zone, out)
		cfg.ZonesOut = list
		return changed
	}
}

// SetServer returns the edit that takes a backend server out of service or back in.
func SetServer(server string, out bool) Edit {
	return func(cfg *wirepb.Configuration) bool {
		list, changed := setOut(cfg.GetServersOut(), server, out)
		cfg.ServersOut = list
		return changed
	}
}

func setOut(list []string, name string, out bool) ([]string, bool) {
	i := slices.Index(list, name)
	switch {
	case out && i < 0:
		return append(list, name), true
	case !out && i >= 0:
		return slices.Delete(list, i, i+1), true
	default:
		return list, false
	}
}
