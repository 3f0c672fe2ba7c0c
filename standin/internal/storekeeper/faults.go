// Package storekeeper is a stand-in for the platform's object API, with injectable
// faults.
package storekeeper

import "time"

// Faults are the faults that a bench injects into the platform.
type Faults struct {
	// Down rejects all object requests with status 503.
	Down bool `json:"down"`
	// SlowMillis delays each response, in milliseconds.
	SlowMillis int `json:"slowMillis"`
	// LoseAnswers closes the connection instead of confirming a successful write.
	LoseAnswers bool `json:"loseAnswers"`
	// StaleReads makes reads return the version before the newest.
	StaleReads bool `json:"staleReads"`
	// SilentWatches delays each watch by a minute.
	SilentWatches bool `json:"silentWatches"`
}

// delay returns the delay of each response.
func (f Faults) delay() time.Duration { return time.Duration(f.SlowMillis) * time.Millisecond }

// Counts holds the number of object requests so far, by type. Refused counts the
// reads and writes above the rate limit.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"`
}
