// Package randtest runs a randomized test with many seeds concurrently.
package randtest

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

// Env is the environment variable that overrides the number of seeds.
const Env = "HICKORY_SCHEDULES"

// Each calls f concurrently with the seeds from 0 to n-1, and fails the test for each error.
// If the environment variable Env is a number, it replaces n. After an error, the seeds that
// the same worker would have run next are skipped.
func Each(t testing.TB, n uint64, f func(seed uint64) error) {
	t.Helper()
	if override, err := strconv.ParseUint(os.Getenv(Env), 10, 64); err == nil {
		n = override
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
