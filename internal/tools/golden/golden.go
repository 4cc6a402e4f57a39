// Package golden compares what the program stores and sends with files that an earlier version wrote. A test that uses it fails
// when the present version no longer reads such a file to the same values, or no longer writes the same bytes.
//
// A sample value is filled by reflection in the order of its fields. A test therefore doesn't depend on the names of fields: a
// field may be renamed as long as its struct tag keeps the key. A changed key or a moved field fails the test.
//
// The files are in the folder testdata/golden of the package under test. The flag -update-golden rewrites them; use it only
// if a format is meant to change.
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

var update = flag.Bool("update-golden", false, "rewrite the golden files")

// Check encodes a filled sample of T and compares the bytes with the golden file of the given name. It also decodes the file and
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
		t.Errorf("%s is encoded as\n%q\nwant, from the golden file,\n%q", name, got, want)
	}
	var decoded T
	if err := decode(want, &decoded); err != nil {
		t.Fatalf("%s: decode: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, sample) {
		t.Errorf("%s is decoded as\n%+v\nwant\n%+v", name, decoded, sample)
	}
}

// JSON calls Check for a value that is encoded as JSON, with the file name name.json.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	Check[T](t, name+".json", json.Marshal, json.Unmarshal)
}

// Bytes returns the contents of the golden file of a name. With -update-golden it first writes got to the file.
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

// Updating reports whether golden files are being rewritten. Tests use it that create their fixture with the program itself.
func Updating() bool { return *update }

// Text compares got with the golden file of the given name.
func Text(t *testing.T, name, got string) {
	t.Helper()
	if want := Bytes(t, name, []byte(got)); got != string(want) {
		t.Errorf("%s:\n%s\nnot\n%s", name, got, want)
	}
}
