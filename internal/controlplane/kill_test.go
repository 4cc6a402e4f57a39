package controlplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }
func anywhere() netip.AddrPort { return netip.MustParseAddrPort("192.0.2.1:0") }

func prefixes(all ...string) *bart.Lite {
	t := &bart.Lite{}
	for _, p := range all {
		t.Insert(netip.MustParsePrefix(p))
	}
	return t
}

// The environment of a child process: what it is to be, where, and at which passing of a kill point it dies.
const (
	childMode   = "STAIRVANE_TEST_CHILD"
	childFolder = "STAIRVANE_TEST_FOLDER"
	childKill   = "STAIRVANE_TEST_KILL"
)

func runChild(mode string) int {
	folder := os.Getenv(childFolder)
	kill, _ := strconv.Atoi(os.Getenv(childKill))
	if mode == "fill" {
		return fillAndDie(folder, kill)
	}
	passed := 0
	set := settingsIn(folder)
	opt := Options{KillPoint: func(string) {
		if passed++; passed == kill {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}}
	var b *Server
	if mode == "apply" {
		set.SnapshotEvery, set.KeepEvents = 3, 2
		// The time is that of the history, so that histories can be compared byte for byte.
		opt.Clock = func() int64 {
			if b == nil {
				return 1_000_000
			}
			return 1_000_000 + b.store.Fleet().Revision
		}
	}
	var err error
	if b, err = New(set, opt); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ended := make(chan error, 1)
	go func() { ended <- b.Run() }()
	if mode == "serve" {
		<-ended
		return 0
	}
	if err := childApplies(b, folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	b.Stop()
	if err := <-ended; err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("%x %d\n", b.store.Chain(), b.store.Fleet().Revision)
	return 0
}

// childApplies has two plans carried out, each unless it was before.
func childApplies(b *Server, folder string) error {
	c, err := api.NewClient("unix:"+filepath.Join(folder, "s"), "", api.Credentials{})
	if err != nil {
		return err
	}
	wishes := []fleet.DesiredState{
		depot(quickRules(), cacheBox(0, true), cacheBox(1, true), cacheBox(2, true)),
		depot(quickRules(), cacheBox(0, true), cacheBox(3, false), cacheBox(4, false)),
	}
	for i, wish := range wishes {
		all, err := c.Applies()
		if err != nil {
			return err
		}
		if len(all) <= i {
			world, err := c.State()
			if err != nil {
				return err
			}
			w, err := world.ObservedState()
			if err != nil {
				return err
			}
			p, err := plan.Make(w, wish, "")
			if err != nil {
				return err
			}
			file, err := plan.Encode(p)
			if err != nil {
				return err
			}
			if _, err := c.Submit(file); err != nil {
				return err
			}
		}
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			a, err := c.Apply(int64(i + 1))
			if err != nil {
				return err
			}
			if a.Status == apply.Done {
				break
			}
			if a.Status != apply.Running || time.Now().After(end) {
				return fmt.Errorf("apply %d is %s: %s", a.ID, a.Status, a.Reason)
			}
		}
	}
	return nil
}

func child(t *testing.T, mode, folder string, kill int) *exec.Cmd {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	t.Cleanup(cancel)
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), childMode+"="+mode, childFolder+"="+folder, childKill+"="+strconv.Itoa(kill))
	return cmd
}

// The board is killed at each point where it writes, or has written and told nobody; it resumes to the same history,
// byte for byte: no event twice, none missing.
func TestKilledAtEveryWrite(t *testing.T) {
	run := func(folder string, kill int) (out []byte, killed bool) {
		t.Helper()
		cmd := child(t, "apply", folder, kill)
		var errText bytes.Buffer
		cmd.Stderr = &errText
		out, err := cmd.Output()
		var exit *exec.ExitError
		if errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
			return nil, true
		}
		if err != nil {
			t.Fatalf("kill %d: %v: %s", kill, err, errText.String())
		}
		return out, false
	}
	want, _ := run(t.TempDir(), 0)
	kills := 0
	var wg sync.WaitGroup
	next := make(chan int)
	over := make(chan struct{})
	var once sync.Once
	for range 4 {
		wg.Go(func() {
			for kill := range next {
				folder, err := os.MkdirTemp("", "board")
				if err != nil {
					t.Error(err)
					return
				}
				defer os.RemoveAll(folder)
				got, killed := run(folder, kill)
				if !killed {
					once.Do(func() { close(over) })
				} else if got, killed = run(folder, 0); killed {
					t.Error("killed without a kill")
				}
				if !bytes.Equal(got, want) {
					t.Errorf("killed at point %d: %s, not %s", kill, got, want)
				}
			}
		})
	}
	for kill := 1; ; kill++ {
		select {
		case next <- kill:
			kills = kill
			continue
		case <-over:
		}
		break
	}
	close(next)
	wg.Wait()
	t.Logf("%d kill points, history %s", kills, want)
	if kills < 60 {
		t.Errorf("only %d kill points", kills)
	}
}

type purgeOp struct{ read bool }

// purgeResult is what a call gave: a number, or that nobody knows whether it was done.
type purgeResult struct {
	no      int64
	unknown bool
}

// Concurrent writers and readers against a board that is killed and started again: the history is linearizable. A call
// that broke off may have been done at any time until the end, or never.
func TestLinearizableWithKills(t *testing.T) {
	seed := uint64(1)
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	folder := t.TempDir()
	set := settingsIn(folder)
	begin := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 4 {
		c := client(t, set, "")
		own := rand.New(rand.NewPCG(seed, uint64(id)+2))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				op := porcupine.Operation{ClientId: id, Input: purgeOp{read: own.IntN(3) == 0}, Call: time.Since(begin).Nanoseconds()}
				var r purgeResult
				if op.Input.(purgeOp).read {
					w, err := c.State()
					if err != nil { // a read that failed tells nothing
						time.Sleep(5 * time.Millisecond)
						continue
					}
					r.no = w.Fleet.Revision
				} else {
					p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", own.Uint64())})
					if r.no = p.Revision; err != nil {
						time.Sleep(5 * time.Millisecond)
						if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
							continue // nobody was there
						}
						r.unknown = true
					}
				}
				op.Output, op.Return = r, time.Since(begin).Nanoseconds()
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	for range 4 {
		cmd := child(t, "serve", folder, 0)
		check(t, cmd.Start())
		c := client(t, set, "")
		until(t, "the board answers", func() bool { _, err := c.State(); return err == nil })
		mu.Lock()
		want := len(ops) + 40 + rng.IntN(60)
		mu.Unlock()
		until(t, "work", func() bool { mu.Lock(); defer mu.Unlock(); return len(ops) >= want })
		check(t, cmd.Process.Kill())
		_ = cmd.Wait()
	}
	close(stop)
	wg.Wait()
	unknown, certain := 0, 0
	for i, o := range ops {
		if r := o.Output.(purgeResult); r.unknown {
			unknown++
			ops[i].Return = time.Since(begin).Nanoseconds()
		} else {
			certain++
		}
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			n, r := state.(int64), output.(purgeResult)
			switch {
			case input.(purgeOp).read && r.no == n:
				return []any{n}
			case input.(purgeOp).read:
				return nil
			case r.unknown:
				return []any{n, n + 1}
			case r.no == n+1:
				return []any{r.no}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), ops, 30*time.Second) {
	case porcupine.Illegal:
		t.Errorf("not linearizable: %d calls, %d broke off", certain, unknown)
	case porcupine.Unknown:
		t.Errorf("not decided in time: %d calls, %d broke off", certain, unknown)
	}
	t.Logf("%d calls, %d broke off", certain, unknown)
	s, err := store.Open(set.Store, store.Options{})
	check(t, err)
	check(t, s.Close())
}
