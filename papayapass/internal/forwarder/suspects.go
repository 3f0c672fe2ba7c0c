package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/quarantiner"
)

// Quarantine returns what the node knows of requests that end backend servers.
func (f *Forwarder) Quarantine() *quarantiner.Quarantine { return f.quarantine }

// awaitVerdict waits until a call may run, or returns why it may not. observed is set if it is
// suspected; recordRun must follow.
func (f *Forwarder) awaitVerdict(ctx context.Context, c *dispatcher.Call) (observed bool, r dispatcher.Reason) {
	if !c.IsSuspect && !f.quarantine.IsActive() {
		return false, dispatcher.ReasonNone
	}
	fingerprint := uint64(c.Fingerprint())
	deadline := time.NewTimer(c.Deadline.Sub(f.clock.Now()))
	defer deadline.Stop()
	for {
		verdict, runEnded := f.quarantine.Admit(fingerprint, c.IsSuspect)
		switch verdict {
		case quarantiner.Run:
			return false, dispatcher.ReasonNone
		case quarantiner.RunObserved:
			return true, dispatcher.ReasonNone
		case quarantiner.Reject:
			return false, dispatcher.ReasonQuarantined
		case quarantiner.Wait:
		}
		select {
		case <-ctx.Done():
			return false, dispatcher.ReasonCanceled
		case <-deadline.C:
			return false, dispatcher.ReasonDeadline
		case <-runEnded:
		}
	}
}

// isWatched reports whether a call is suspected or quarantined by now.
func (f *Forwarder) isWatched(c *dispatcher.Call) bool {
	return f.quarantine.IsActive() && f.quarantine.Watches(uint64(c.Fingerprint()))
}

// recordRun records what the result of a call tells about requests like it.
func (f *Forwarder) recordRun(c *dispatcher.Call, observed bool, res dispatcher.Result) {
	succeeded := res.Outcome == dispatcher.Answered && res.Response.Status < http.StatusInternalServerError
	if !observed && !res.ServerEnded && (!succeeded || !f.quarantine.IsActive()) {
		return
	}
	fingerprint := uint64(c.Fingerprint())
	changed, state := false, partitioner.Suspected
	switch {
	case observed && res.ServerEnded:
		changed, state = f.quarantine.EndObserved(fingerprint, true), partitioner.Quarantined
	case observed:
		f.quarantine.EndObserved(fingerprint, false)
	case res.ServerEnded:
		changed = f.quarantine.Suspect(fingerprint)
	}
	if succeeded {
		changed, state = f.quarantine.Clear(fingerprint), partitioner.Cleared
	}
	if changed {
		f.logger.Info().Str("request", c.ID).Str("route", c.Route).Stringer("fingerprint", c.Fingerprint()).
			Stringer("state", state).Bool("observed", observed).Msg("suspicion of requests changed")
		f.node.TriggerHeartbeat()
	}
}

// hasEnded reports whether the backend server s, which closed a connection during an exchange,
// has ended.
func (f *Forwarder) hasEnded(s partitioner.Server) bool {
	f.mu.Lock()
	restarted := !f.lastHeartbeat.SameStart(s.ID, s.StartedAtMillis)
	f.mu.Unlock()
	if restarted {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := f.exchanger.Connect(ctx)
	if err != nil {
		f.connectFailed(err)
	}
	return errors.Is(err, exchanger.ErrRefused)
}
