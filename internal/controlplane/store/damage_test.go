package store

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Guards against reading damaged data as valid and against a crash of the process: a flipped bit or a
// truncated file must be reported, or affect only unused parts of the file.
func TestDamageIsReported(t *testing.T) {
	seed := uint64(1)
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	path := filepath.Join(t.TempDir(), "s")
	s, err := Open(path, Options{SnapshotEvery: 100, KeepEvents: 1000, NoSync: true})
	check(t, err)
	fill(t, s, 450)
	want, err := content(s)
	check(t, err)
	check(t, s.Close())
	intact, err := os.ReadFile(path)
	check(t, err)
	reported, harmless := 0, 0
	broken := filepath.Join(t.TempDir(), "s")
	try := func(name string, b []byte) {
		t.Helper()
		check(t, os.WriteFile(broken, b, 0o600))
		s, err := Open(broken, Options{SnapshotEvery: 1000, NoSync: true})
		if err != nil {
			reported++
			if after, _ := os.ReadFile(broken); !bytes.Equal(after, b) {
				t.Errorf("%s: a damaged file was written to", name)
			}
			return
		}
		defer closeStore(t, s)
		got, err := content(s)
		if err != nil {
			reported++
			return
		}
		harmless++
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as another event log", name)
		}
	}
	for i := range 2 { // the library would continue from the older of two headers
		b := bytes.Clone(intact)
		b[i*os.Getpagesize()+16+50] ^= 1
		if try(fmt.Sprintf("header %d", i), b); reported != i+1 {
			t.Errorf("header %d: not reported", i)
		}
	}
	for range 400 {
		b := bytes.Clone(intact)
		at := rng.IntN(len(b) * 8)
		b[at/8] ^= 1 << (at % 8)
		try(fmt.Sprintf("bit %d", at), b)
	}
	flips := reported
	for range 60 {
		n := 1 + rng.IntN(len(intact)-1)
		try(fmt.Sprintf("%d of %d bytes", n, len(intact)), intact[:n])
	}
	t.Logf("%d of 400 flips and %d of 60 truncations reported, %d harmless", flips, reported-flips, harmless)
	if flips < 60 || reported-flips < 10 {
		t.Error("too little was reported")
	}
}
