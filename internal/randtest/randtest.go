// Package randtest runs seeded schedules side by side in tests.
package randtest

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

// Env names the environment variable that changes the number of schedules.
const Env = "HICKORY_SCHEDULES"

// Each calls f with the seeds from 0 up to n, or up to what Env says, and fails
// the test for each error.
func Each(t testing.TB, n uint64, f func(seed uint64) error) {
	t.Helper()
	if given, err := strconv.ParseUint(os.Getenv(Env), 10, 64); err == nil {
		n = given
	}
	workers := uint64(runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for seed := worker; seed < n; seed += workers {
				if err := f(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
					return
				}
			}
		})
	}
	wg.Wait()
}
