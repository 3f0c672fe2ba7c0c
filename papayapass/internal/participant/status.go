package participant

import "time"

// Status is what a node believes of the deployment.
type Status struct {
	Epoch                uint64
	TableVersion         uint64
	ConfigurationVersion uint64
	IsCoordinator        bool
	// CoordinatorSilence is the time since the coordinator was heard.
	CoordinatorSilence time.Duration
	// LeaseLeft is how long the node may renew grants without a reply.
	LeaseLeft time.Duration
	// KeysHeld is the number of keys that the backend server certainly holds.
	KeysHeld int
}

// Status returns what the node believes now.
func (c *Participant) Status() Status {
	now := c.timers.Now()
	s := Status{CoordinatorSilence: c.silentFor(), LeaseLeft: c.granter.LeaseLeft(now), KeysHeld: c.granter.KeysHeld(now)}
	if t := c.table.Load(); t != nil {
		s.Epoch, s.TableVersion = t.Epoch, t.Version
	}
	if cfg := c.Configuration(); cfg != nil {
		s.ConfigurationVersion = cfg.Version
	}
	c.mu.Lock()
	s.IsCoordinator = c.overseer != nil
	c.mu.Unlock()
	return s
}
