package launcher

import (
	"context"
	"os"
	"time"
)

// reloadInterval is the time between checks of the settings file.
const reloadInterval = 2 * time.Second

// reloader applies settings that change while the node runs.
type reloader struct {
	path    string
	current *Settings
	node    *node
	hangUps <-chan os.Signal
}

func newReloader(path string, current *Settings, n *node, hangUps <-chan os.Signal) *reloader {
	return &reloader{path: path, current: current, node: n, hangUps: hangUps}
}

func (r *reloader) run(ctx context.Context) error {
	tick := r.node.timers.Subscribe(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hangUps:
			r.node.logger.Info().Msg("SIGHUP received, reloading the settings")
		case <-tick.C():
		}
		r.reload()
	}
}

// reload reads the settings file. The participant's bounds apply at once, all other
// settings after a restart. A file that cannot be read changes nothing.
func (r *reloader) reload() {
	s, err := ReadSettings(r.path)
	if err != nil {
		r.node.logger.Warn().Err(err).Msg("cannot read the settings, keeping the previous ones")
		return
	}
	if *s == *r.current {
		return
	}
	fixed := s.Node == r.current.Node && s.Listen == r.current.Listen && s.Store == r.current.Store
	r.current = s
	r.node.participant.SetBounds(s.bounds())
	r.node.logger.Info().Bool("needsAnotherStart", !fixed).Msg("settings changed")
}
