package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/storer"
)

// ConfigurationObject is the name of the configuration in the object API.
const ConfigurationObject = "papayapass/configuration"

// Intervals and time-outs of the configuration watch.
const (
	roleCheckInterval = 200 * time.Millisecond
	watchTimeout      = time.Second
	readTimeout       = 500 * time.Millisecond
)

// WatchPlatform is the part of the object API that a configuration watch uses.
type WatchPlatform interface {
	// Get reads an object.
	Get(ctx context.Context, name string) (storer.Object, error)
	// Watch waits for a version later than after.
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (storer.Object, error)
}

// configurationWatcher watches the configuration in the platform while its node
// is the coordinator. Other nodes get it in heartbeat replies, so each cell
// needs only one watch.
type configurationWatcher struct {
	platform WatchPlatform
	keeper   *Keeper
	version  uint64
}

func newConfigurationWatcher(platform WatchPlatform, keeper *Keeper) *configurationWatcher {
	return &configurationWatcher{platform: platform, keeper: keeper}
}

func (w *configurationWatcher) run(ctx context.Context) error {
	tick := w.keeper.timers.Subscribe(roleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
		}
		for w.isCoordinator() && ctx.Err() == nil {
			if !w.waitForChange(ctx) {
				break
			}
		}
	}
}

func (w *configurationWatcher) isCoordinator() bool {
	v := w.keeper.View()
	return v.coordinator == v.self
}

// waitForChange waits for one change and reports whether to continue at once.
// The plain read before each watch also finds a change that a broken watch
// failed to report.
func (w *configurationWatcher) waitForChange(ctx context.Context) bool {
	if !w.read(ctx) {
		return false
	}
	object, err := w.platform.Watch(ctx, ConfigurationObject, w.version, watchTimeout)
	if errors.Is(err, storer.ErrUnchanged) {
		return true
	}
	if err != nil {
		return false
	}
	w.apply(object)
	return true
}

func (w *configurationWatcher) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	object, err := w.platform.Get(ctx, ConfigurationObject)
	if errors.Is(err, storer.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	w.apply(object)
	return true
}

func (w *configurationWatcher) apply(object storer.Object) {
	if object.Version() <= w.version {
		return
	}
	cfg, err := DecodeConfiguration(object.Value())
	if err != nil {
		w.keeper.logger.Error().Err(err).Msg("configuration in the platform cannot be read, the old one stays in force")
		return
	}
	w.version = object.Version()
	w.keeper.post(configurationEvent{configuration: cfg})
}

// DecodeConfiguration decodes the configuration from an object's value.
func DecodeConfiguration(value []byte) (*wirepb.Configuration, error) {
	var cfg wirepb.Configuration
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(value, &cfg); err != nil {
		return nil, errors.Wrap(err, "decode the configuration")
	}
	return &cfg, nil
}

// EncodeConfiguration encodes a configuration as an object's value.
func EncodeConfiguration(cfg *wirepb.Configuration) ([]byte, error) {
	return protojson.Marshal(cfg)
}
