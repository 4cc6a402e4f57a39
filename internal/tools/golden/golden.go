// Package golden compares what the program stores and sends with files that an earlier version wrote. A test that uses it fails
// when the present version no longer reads such a file to the same values, or no longer writes the same bytes.
//
// A sample value is filled by reflection in the order of its fields. A test therefore doesn't depend on the names of fields: a
// field may be renamed as long as its struct tag keeps the key. A changed key, or a field in another place, fails the test.
//
// The files are in the folder testdata/golden of the package under test. The flag -update-golden writes them anew; use it only
// for a form that is meant to change.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

const (
	folderMode = 0o755
	fileMode   = 0o644
)

var update = flag.Bool("update-golden", false, "write the golden files anew")

// Check encodes a filled sample of T and compares the bytes with the golden file of that name. It also decodes the file and
// compares the result with the sample.
func Check[T any](t *testing.T, name string, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	var sample T
	Fill(&sample)
	got, err := encode(sample)
	if err != nil {
		t.Fatalf("%s: encode: %v", name, err)
	}
	want := Bytes(t, name, got)
	if !bytes.Equal(got, want) {
		t.Errorf("%s is written as\n%q\nthe golden file has\n%q", name, got, want)
	}
	var decoded T
	if err := decode(want, &decoded); err != nil {
		t.Fatalf("%s: decode: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, sample) {
		t.Errorf("%s is read as\n%+v\nnot as\n%+v", name, decoded, sample)
	}
}

// JSON is Check for a value that is sent as JSON.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	Check[T](t, name+".json", json.Marshal, json.Unmarshal)
}

// Bytes reads the golden file of a name; with -update-golden it first writes got there.
func Bytes(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// Updating reports whether golden files are being written. A test that makes its fixture with the program itself asks this.
func Updating() bool { return *update }

// Text compares got with the golden file of that name.
func Text(t *testing.T, name, got string) {
	t.Helper()
	if want := Bytes(t, name, []byte(got)); got != string(want) {
		t.Errorf("%s:\n%s\nnot\n%s", name, got, want)
	}
}
