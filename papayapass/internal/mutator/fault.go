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
	// KeepTokenAcrossStart gives the next start of a backend server its keys back with the
	// fencing tokens of the start before.
	KeepTokenAcrossStart
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
	// ForgetEarlierLease forgets a node's lease of an earlier term with its first
	// heartbeat.
	ForgetEarlierLease
	// ShortLeaseAtOnce counts the coordinator's lease as its own from its term's start,
	// though its node may have a longer one of the term before.
	ShortLeaseAtOnce
	// TermFromReply starts a term with the time at which the store's response arrived.
	TermFromReply
	// UnlistedIsReleased takes keys that a heartbeat does not list as not held, though an
	// earlier response may still grant them.
	UnlistedIsReleased
	// RepeatedReleaseCounts takes a release that a heartbeat repeats as a new one.
	RepeatedReleaseCounts
	// ForgetPriorGrants ignores what an earlier process of the node may have granted.
	ForgetPriorGrants
	// HoldIgnoresListing counts moving keys as released though a heartbeat lists them.
	HoldIgnoresListing
	// AcceptLateHeartbeat grants keys in response to a heartbeat older than another one.
	AcceptLateHeartbeat
	// RecoverStoredTable bases the first table after a restore of the store on the restored
	// one.
	RecoverStoredTable
	// ForgetUnheard assigns keys at once after a restore of the store, though members that
	// did not answer may hold them.
	ForgetUnheard
	// TrustRestartedMembers extends a coordinator's authority by echoes of members that have
	// restarted since the store last confirmed it.
	TrustRestartedMembers
	// LeaseToRestartedMembers gives leases to members that have restarted since the store last
	// confirmed the coordinator's role.
	LeaseToRestartedMembers
	// FoundAtOnce divides keys at once under a table that was created after a restore of the
	// store had lost all earlier ones.
	FoundAtOnce
	// NameStartAtOnce names a new start of a backend server to the coordinator although it may
	// hold keys by grants for the start before.
	NameStartAtOnce
	// FreeBesidePriorGrants frees the keys of a former start of a backend server although its
	// next start may hold them by grants of an earlier process of the node.
	FreeBesidePriorGrants
	// ReassignShardOfSilentOwner gives a quota shard another owner although the lease of the present
	// one may be valid.
	ReassignShardOfSilentOwner
	// StartWithFullBuckets lets the next owner of a quota shard grant the burst of each customer at
	// once, though the owner before may have granted it.
	StartWithFullBuckets
)
