package participant

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// What readings of the store tell about the age, one failure each. Times are in seconds.
func TestAgeOfTheConfiguration(t *testing.T) {
	type reading struct {
		started, era, version, before, inForce uint64
	}
	at := func(s uint64) timer.Instant { return timer.Instant(s * uint64(time.Second)) }
	cases := map[string]struct {
		readings []reading
		asOf     uint64 // zero if it is not known
	}{
		"nothing was read":                         {nil, 0},
		"unchanged version":                        {[]reading{{10, 1, 5, 5, 5}, {12, 1, 5, 5, 5}}, 12},
		"new version":                              {[]reading{{10, 1, 5, 5, 5}, {12, 1, 6, 5, 6}}, 12},
		"reading that took long":                   {[]reading{{12, 1, 5, 5, 5}, {10, 1, 5, 5, 5}}, 12},
		"version that is not in force":             {[]reading{{10, 1, 5, 5, 5}, {12, 1, 6, 5, 5}}, 10},
		"stale copy of the store":                  {[]reading{{10, 1, 5, 5, 5}, {12, 1, 4, 5, 5}}, 10},
		"stale copy, newer from the coordinator":   {[]reading{{10, 1, 5, 5, 5}, {12, 1, 5, 6, 6}}, 10},
		"restored, the newest version may be lost": {[]reading{{10, 1, 5, 5, 5}, {12, 2, 5, 5, 5}, {14, 2, 5, 5, 5}}, 10},
		"restored, written again":                  {[]reading{{10, 1, 5, 5, 5}, {12, 2, 4, 5, 5}, {14, 2, 6, 5, 6}}, 14},
		"restored, another one after it":           {[]reading{{10, 1, 5, 5, 5}, {12, 2, 4, 5, 5}, {14, 2, 6, 5, 6}, {15, 2, 6, 6, 6}}, 14},
		"restored, nothing written again":          {[]reading{{10, 1, 5, 5, 5}, {12, 2, 4, 5, 5}, {19, 2, 4, 5, 5}}, 19},
		"reading from before the restore":          {[]reading{{10, 2, 5, 5, 5}, {12, 1, 5, 5, 5}}, 10},
		"restored twice":                           {[]reading{{10, 1, 5, 5, 5}, {12, 2, 5, 5, 5}, {16, 3, 5, 5, 5}, {19, 3, 5, 5, 5}}, 10},
		"first reading is older than known":        {[]reading{{10, 1, 4, 5, 5}, {11, 1, 4, 5, 5}}, 0},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var a configurationAge
			for _, r := range tt.readings {
				a.read(configurationReading{started: at(r.started), ended: at(r.started + 1), era: r.era, version: r.version}, r.before, r.inForce)
			}
			age, known := a.age(at(20))
			require.Equal(t, tt.asOf > 0, known)
			if known {
				require.Equal(t, at(20).Sub(at(tt.asOf)), age)
			}
		})
	}
}

func TestFreshnessByAge(t *testing.T) {
	strict := Bounds{ApplyTimeout: 2 * time.Second, Revocation: 5 * time.Second}
	cases := map[string]struct {
		age    time.Duration
		known  bool
		bounds Bounds
		want   dispatcher.Freshness
	}{
		"fresh":                         {2 * time.Second, true, strict, dispatcher.Current},
		"keys may have been added":      {2*time.Second + 1, true, strict, dispatcher.Usable},
		"at the bound less its reserve": {4750 * time.Millisecond, true, strict, dispatcher.Usable},
		"keys may have been taken away": {4750*time.Millisecond + 1, true, strict, dispatcher.Outdated},
		"unknown":                       {0, false, strict, dispatcher.Outdated},
		"unknown, no bound":             {0, false, Bounds{ApplyTimeout: 2 * time.Second}, dispatcher.Usable},
		"old, no bound":                 {time.Hour, true, Bounds{ApplyTimeout: 2 * time.Second}, dispatcher.Usable},
		"bound shorter than applying":   {time.Second, true, Bounds{ApplyTimeout: 2 * time.Second, Revocation: time.Second}, dispatcher.Outdated},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, freshness(tt.age, tt.known, &tt.bounds)) })
	}
}

// decodeWithKeys decodes a version of a configuration that requires keys.
func decodeWithKeys(spec []byte) (*descriptor.Configuration, error) {
	cfg, err := decodeVersion(spec)
	if err == nil {
		cfg.KeysRequired = true
	}
	return cfg, err
}

// newStrictParticipant returns a participant with a bound of 5 s, and one reading of the store.
func newStrictParticipant(t *testing.T, s *fakeStore) (*Participant, *timer.ManualClock) {
	t.Helper()
	p, clock := newTestParticipant(t, s)
	p.layout.Decode = decodeWithKeys
	b := *p.bounds.Load()
	b.ApplyTimeout, b.Revocation = 2*time.Second, 5*time.Second
	p.SetBounds(b)
	p.readStore(context.Background())
	return p, clock
}

// One failure each while the configuration stays in force, and whether keys are accepted 5 s later.
func TestKeysAreRefusedWhileTheirAgeIsUnknown(t *testing.T) {
	cases := map[string]struct {
		fail func(p *Participant, s *fakeStore, clock *timer.ManualClock)
		want dispatcher.Freshness
	}{
		"calm": {func(*Participant, *fakeStore, *timer.ManualClock) {}, dispatcher.Current},
		"silent store": {func(_ *Participant, s *fakeStore, _ *timer.ManualClock) {
			s.err = context.DeadlineExceeded
		}, dispatcher.Outdated},
		"configuration that cannot be decoded": {func(p *Participant, s *fakeStore, _ *timer.ManualClock) {
			p.layout.Decode = func([]byte) (*descriptor.Configuration, error) { return nil, descriptor.ErrMalformed }
			s.revision++
		}, dispatcher.Outdated},
		"process that was suspended": {func(_ *Participant, s *fakeStore, clock *timer.ManualClock) {
			clock.Advance(time.Minute)
			s.err = context.DeadlineExceeded
		}, dispatcher.Outdated},
		"cut off from the store, the coordinator replies": {func(p *Participant, s *fakeStore, _ *timer.ManualClock) {
			s.err = context.DeadlineExceeded
			p.hearLater(3*time.Second, 1, 1)
		}, dispatcher.Usable},
		"cut off, the coordinator's reading is as old": {func(p *Participant, s *fakeStore, _ *timer.ManualClock) {
			s.err = context.DeadlineExceeded
			p.hearLater(5*time.Second, 1, 1)
		}, dispatcher.Outdated},
		"cut off, the coordinator has a newer version": {func(p *Participant, s *fakeStore, _ *timer.ManualClock) {
			s.err = context.DeadlineExceeded
			p.hearLater(0, 2, 1)
		}, dispatcher.Outdated},
		"the coordinator does not know its age": {func(p *Participant, s *fakeStore, _ *timer.ManualClock) {
			s.err = context.DeadlineExceeded
			p.hearLater(0, 0, 1)
		}, dispatcher.Outdated},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 1}
			p, clock := newStrictParticipant(t, s)
			require.Equal(t, dispatcher.Current, p.ConfigurationFreshness())
			clock.Advance(5 * time.Second)
			tt.fail(p, s, clock)
			p.readStore(context.Background())
			require.Equal(t, tt.want, p.ConfigurationFreshness())
		})
	}
}

// hearLater takes a coordinator's age of a version, for a heartbeat sent just now.
func (p *Participant) hearLater(age time.Duration, version, inForce uint64) {
	p.age.hear(p.timers.Now(), age, version, inForce)
}

// The reply to a heartbeat tells the age at the coordinator, where keys depend on it.
func TestReplyTellsTheAge(t *testing.T) {
	for name, decode := range map[string]func([]byte) (*descriptor.Configuration, error){"keys": decodeWithKeys, "no keys": decodeVersion} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 7, revision: 1}
			p, clock := newTestParticipant(t, s)
			p.layout.Decode = decode
			p.readStore(context.Background())
			clock.Advance(600 * time.Millisecond)
			var r overseer.HeartbeatReply
			p.mu.Lock()
			p.fillReply(&r, overseer.Heartbeat{ConfigurationVersion: 7})
			p.mu.Unlock()
			if name == "no keys" {
				require.Zero(t, r.ConfigurationVersion)
				return
			}
			require.Equal(t, uint64(7), r.ConfigurationVersion)
			require.Equal(t, 600*time.Millisecond, r.ConfigurationAge)
		})
	}
}
