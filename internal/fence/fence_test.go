package fence

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFence draws renewals, checks, suspensions and confirmations in any order. No call may begin until a suspension is confirmed, a confirmation that was requested before
// a suspension must not open the fence after it, and a process that is not suspended is never fenced off.
func TestFence(t *testing.T) {
	rejected, reopened, outdated := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		f := newFence(time.Second, func() time.Duration { return now })
		renewed, paused, epochs := time.Duration(0), false, uint64(0) // model
		closeIfExpired := func() {
			if now-renewed > time.Second {
				paused, renewed = true, now
				epochs++
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			case 1: // suspended
				now += time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second
			case 2, 3:
				if !paused {
					closeIfExpired()
				}
				if got := f.Check(); got == paused {
					t.Fatalf("a call may begin: %v; the process was suspended: %v", got, paused)
				}
				if paused {
					rejected++
				}
			case 4:
				closeIfExpired()
				renewed = now
				if epoch, _ := f.Renew(); (epoch != 0) != paused || paused && epoch != epochs {
					t.Fatalf("Renew returned suspension %d; suspended: %v, latest suspension: %d", epoch, paused, epochs)
				}
			default:
				closeIfExpired()
				epoch := epochs - uint64(rapid.IntRange(0, 1).Draw(t, "old"))
				got := f.Open(epoch)
				if want := paused && epoch == epochs; got != want {
					t.Fatalf("Open(%d) = %v; suspended: %v, latest suspension: %d", epoch, got, paused, epochs)
				}
				if got {
					reopened++
					paused = false
				} else if paused {
					outdated++
				}
			}
			if f.Closed() != paused && now-renewed <= time.Second {
				t.Fatalf("Closed() = %v", f.Closed())
			}
		}
	})
	if rejected == 0 || reopened == 0 || outdated == 0 {
		t.Errorf("%d calls rejected, %d fences opened, %d outdated confirmations: the test covers too little", rejected, reopened, outdated)
	}
	f := New(0)
	if f.RenewInterval() != MinLease/4 || !f.Check() || bootTime() <= 0 {
		t.Error("a new fence on the system clock does not have the minimum lease, or is not open")
	}
}

func BenchmarkCheck(b *testing.B) {
	f := New(time.Hour)
	for b.Loop() {
		f.Check()
	}
}
