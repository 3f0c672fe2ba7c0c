//go:build mutation

package overseer_test

import (
	"fmt"
	"sync"
	"testing"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/shared/descriptor"
)

func TestScan(t *testing.T) {
	for _, tt := range []struct {
		f mutator.Fault
		m descriptor.GrantMethod
	}{{mutator.ForgetEarlierLease, descriptor.GrantByCall}, {mutator.ForgetPriorGrants, descriptor.GrantByHeartbeat}, {mutator.ShortLeaseAtOnce, descriptor.GrantByCall}, {mutator.ForgetEarlierLease, descriptor.GrantByHeartbeat}, {mutator.ShortLeaseAtOnce, descriptor.GrantByHeartbeat}} {
		mutator.Activate(tt.f)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var found []uint64
		next := make(chan uint64)
		for range 4 {
			wg.Go(func() {
				for seed := range next {
					w := newWorld(t, seed, 3+int(seed%5), tt.m)
					w.hasHotKeys = true
					w.runFaults()
					if w.violation != "" {
						mu.Lock()
						found = append(found, seed)
						mu.Unlock()
					}
				}
			})
		}
		for seed := range uint64(400) {
			next <- seed
		}
		close(next)
		wg.Wait()
		fmt.Println(tt.f, tt.m, found)
	}
}
