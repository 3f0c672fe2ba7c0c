package mutator

// Fault is a fault that can be injected.
type Fault int

// Faults that can be injected.
const (
	// None is no fault.
	None Fault = iota
	// SkipTakeoverWait assigns slices before older leases have ended.
	SkipTakeoverWait
	// LeaseFromReply counts a lease from the receipt of the reply instead of
	// the sending of the heartbeat.
	LeaseFromReply
	// AcceptEqualEpoch lets a voter join two candidates of one epoch.
	AcceptEqualEpoch
	// SkipQuietPeriod lets a restarted voter confirm a coordinator at once.
	SkipQuietPeriod
	// TrustLostWrite treats a write without a response as done.
	TrustLostWrite
	// SuspendedClock uses a clock that stops while the machine is suspended.
	SuspendedClock
	// ReassignBeforeLeaseEnd reassigns a lost owner's slices before its lease
	// has ended.
	ReassignBeforeLeaseEnd
	// StaleConfirmation reassigns a lost owner's slices based on confirmations
	// that voters gave before its lease ended.
	StaleConfirmation
)
