// Package storekeeper is a stand-in for the platform's object API.
package storekeeper

import "time"

// Faults is what goes wrong at the platform, on command.
type Faults struct {
	// Down answers nothing with success.
	Down bool `json:"down"`
	// SlowMillis delays each answer.
	SlowMillis int `json:"slowMillis"`
	// LoseAnswers closes the connection after each write took effect.
	LoseAnswers bool `json:"loseAnswers"`
	// StaleReads answers reads with the version before the newest.
	StaleReads bool `json:"staleReads"`
	// SilentWatches never answers watches.
	SilentWatches bool `json:"silentWatches"`
}

// delay returns the delay of each answer.
func (f Faults) delay() time.Duration { return time.Duration(f.SlowMillis) * time.Millisecond }

// Counts is the number of calls so far, by kind.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"`
}
