package participant

import "time"

// Status is the deployment's state as the node knows it.
type Status struct {
	Epoch                uint64
	TableVersion         uint64
	ConfigurationVersion uint64
	StoreEra             uint64
	IsCoordinator        bool
	// CoordinatorSilence is the time since the last reply from the coordinator.
	CoordinatorSilence time.Duration
	// ConfigurationAge is the greatest age of the configuration in force, or -1 s if it is not known.
	ConfigurationAge time.Duration
	// LeaseLeft is how long the node may renew grants without another reply.
	LeaseLeft time.Duration
	// KeysHeld is the number of keys that the local backend server certainly holds.
	KeysHeld int
}

// Status returns the current status.
func (p *Participant) Status() Status {
	now := p.timers.Now()
	s := Status{StoreEra: p.storeEra.Load(), CoordinatorSilence: p.coordinatorSilence(), LeaseLeft: p.granter.LeaseLeft(now), KeysHeld: p.granter.KeysHeld(now)}
	s.ConfigurationAge = -time.Second
	if age, known := p.age.age(now); known {
		s.ConfigurationAge = age
	}
	if t := p.table.Load(); t != nil {
		s.Epoch, s.TableVersion = t.Epoch, t.Version
	}
	if cfg := p.Configuration(); cfg != nil {
		s.ConfigurationVersion = cfg.Version
	}
	p.mu.Lock()
	s.IsCoordinator = p.overseer != nil
	p.mu.Unlock()
	return s
}
