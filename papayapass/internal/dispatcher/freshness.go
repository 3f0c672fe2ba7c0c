package dispatcher

// Freshness says what may be decided with the configuration in force, by its age.
type Freshness int

// Freshness of a configuration.
const (
	// Outdated means that keys which it names may have been taken away longer ago than is allowed.
	Outdated Freshness = iota
	// Usable means that its keys are accepted, but that others may have been added.
	Usable
	// Current means that there are no other keys.
	Current
)

// String returns the name in logs.
func (f Freshness) String() string {
	switch f {
	case Current:
		return "current"
	case Usable:
		return "usable"
	default:
		return "outdated"
	}
}
