package mutator

// Fault is a mistake that can be planted.
type Fault int

// Faults that can be planted.
const (
	// None is no fault.
	None Fault = iota
	// SkipTakeoverWait gives slices out before older leases have run out.
	SkipTakeoverWait
	// LeaseFromAnswer counts a lease from the answer instead of the question.
	LeaseFromAnswer
	// AcceptEqualEpoch lets a voter join two candidates of one epoch.
	AcceptEqualEpoch
	// NoQuietStart lets a restarted voter confirm at once.
	NoQuietStart
	// TrustLostWrite takes an unanswered write for one that took effect.
	TrustLostWrite
	// SleepingClock uses a clock that stands still while the machine sleeps.
	SleepingClock
	// KeepLeaseOnLoss gives a lost owner's slices away before its lease ends.
	KeepLeaseOnLoss
	// StaleConfirmation gives a lost owner's slices away on confirmations that
	// voters gave before its lease ended.
	StaleConfirmation
)
