package participant

import "papayapass.dev/papayapass/internal/dispatcher"

// ConfigurationFreshness returns the freshness of the configuration in force.
func (p *Participant) ConfigurationFreshness() dispatcher.Freshness { return dispatcher.Current }
