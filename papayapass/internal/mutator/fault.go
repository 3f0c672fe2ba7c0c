package mutator

// Fault is a mistake that can be planted.
type Fault int

// Faults that can be planted.
const (
	// None is no fault.
	None Fault = iota
	// SkipTakeoverWait gives slices out before older leases have run out.
	SkipTakeoverWait
	// LeaseFromReply counts a lease from the answer instead of the question.
	LeaseFromReply
	// AcceptEqualEpoch lets a voter join two candidates of one epoch.
	AcceptEqualEpoch
	// SkipQuietPeriod lets a restarted voter confirm at once.
	SkipQuietPeriod
	// TrustLostWrite takes an unanswered write for one that took effect.
	TrustLostWrite
	// SuspendedClock uses a clock that stands still while the machine sleeps.
	SuspendedClock
	// ReassignBeforeLeaseEnd gives a lost owner's slices away before its lease ends.
	ReassignBeforeLeaseEnd
	// StaleConfirmation gives a lost owner's slices away on confirmations that
	// voters gave before its lease ended.
	StaleConfirmation
)
