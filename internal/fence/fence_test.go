package fence

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFence: whatever order beats, checks, sleeps and confirmations come in, no call begins while a sleep is not confirmed, a confirmation that was asked
// for before a sleep does not open it after that, and a process that does not sleep is never fenced.
func TestFence(t *testing.T) {
	fenced, opened, old := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		f := newFence(time.Second, func() time.Duration { return now })
		renewed, slept, number := time.Duration(0), false, uint64(0) // model
		look := func() {
			if now-renewed > time.Second {
				slept, renewed = true, now
				number++
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			case 1: // stopped
				now += time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second
			case 2, 3:
				if !slept {
					look()
				}
				if got := f.Check(); got == slept {
					t.Fatalf("a call may begin: %v; it slept: %v", got, slept)
				}
				if slept {
					fenced++
				}
			case 4:
				look()
				renewed = now
				if epoch, _ := f.Renew(); (epoch != 0) != slept || slept && epoch != number {
					t.Fatalf("sleep %d, and it slept: %v, the %dth time", epoch, slept, number)
				}
			default:
				look()
				n := number - uint64(rapid.IntRange(0, 1).Draw(t, "old"))
				got := f.Open(n)
				if want := slept && n == number; got != want {
					t.Fatalf("opens for %d: %v; it slept: %v, the %dth time", n, got, slept, number)
				}
				if got {
					opened++
					slept = false
				} else if slept {
					old++
				}
			}
			if f.Closed() != slept && now-renewed <= time.Second {
				t.Fatalf("closed: %v", f.Closed())
			}
		}
	})
	if fenced == 0 || opened == 0 || old == 0 {
		t.Errorf("%d fenced, %d opened, %d refused: this test tests too little", fenced, opened, old)
	}
	f := New(0)
	if f.RenewInterval() != MinLease/4 || !f.Check() || sinceBoot() <= 0 {
		t.Error("on the real clock")
	}
}

func BenchmarkCheck(b *testing.B) {
	f := New(time.Hour)
	for b.Loop() {
		f.Check()
	}
}
