// Package golden holds the landed forms of what is stored and sent, for tests that a later version still reads and writes them.
//
// A sample value is filled by reflection in the order of its fields, so that a test depends on no field's name: a field may be
// renamed as long as its struct tag keeps the key, and a field whose key or place changes fails the test. Files are in the
// testdata folder of the package under test; go test -update-golden writes them anew, for a form that is meant to change.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update-golden", false, "write the golden files anew")

// Check encodes a filled sample of T, compares the bytes with the golden file of that name, and decodes the file into an equal value.
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
		t.Errorf("%s is written in another form:\n%q\nthe landed form:\n%q", name, got, want)
	}
	var read T
	if err := decode(want, &read); err != nil {
		t.Fatalf("%s: decode: %v", name, err)
	}
	if !reflect.DeepEqual(read, sample) {
		t.Errorf("%s is read as\n%+v\nnot as\n%+v", name, read, sample)
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
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// Updating reports whether golden files are being written, for tests that make a fixture with the program itself.
func Updating() bool { return *update }

// Text compares got with the golden file of that name.
func Text(t *testing.T, name, got string) {
	t.Helper()
	if want := Bytes(t, name, []byte(got)); got != string(want) {
		t.Errorf("%s:\n%s\nnot\n%s", name, got, want)
	}
}

// Fill sets every exported field that v points to, nested ones too, to a value of its own. Fields that JSON and CBOR leave out stay zero.
func Fill(v any) {
	next := 0
	fill(reflect.ValueOf(v).Elem(), &next)
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

func fill(v reflect.Value, next *int) {
	*next++
	if v.Type() == rawMessage {
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, *next))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n := int64(*next)
		if v.Type() == reflect.TypeFor[time.Duration]() {
			n *= int64(time.Millisecond)
		}
		v.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.IsExported() && field.Tag.Get("json") != "-" && field.Tag.Get("cbor") != "-" {
				fill(v.Field(i), next)
			}
		}
	}
}

// Values writes all exported values that v holds, in the order of their fields and without their names.
func Values(v any) string {
	var b strings.Builder
	write(&b, reflect.ValueOf(v))
	return b.String()
}

func write(b *strings.Builder, v reflect.Value) {
	if !v.IsValid() {
		b.WriteString("nil ")
		return
	}
	if text, is := v.Interface().(fmt.Stringer); is && v.Kind() != reflect.Pointer {
		fmt.Fprintf(b, "%s ", text)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			b.WriteString("nil ")
			return
		}
		write(b, v.Elem())
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			fmt.Fprintf(b, "%x ", v.Interface())
			return
		}
		b.WriteString("[")
		for i := range v.Len() {
			write(b, v.Index(i))
		}
		b.WriteString("]\n")
	case reflect.Map:
		writeMap(b, v)
	case reflect.Struct:
		b.WriteString("{")
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				write(b, v.Field(i))
			}
		}
		b.WriteString("}\n")
	case reflect.Func, reflect.Chan:
		b.WriteString("- ")
	default:
		fmt.Fprintf(b, "%v ", v.Interface())
	}
}

func writeMap(b *strings.Builder, v reflect.Value) {
	var entries []string
	for it := v.MapRange(); it.Next(); {
		entries = append(entries, Values(it.Key().Interface())+Values(it.Value().Interface()))
	}
	slices.Sort(entries)
	fmt.Fprintf(b, "(%s)\n", strings.Join(entries, ""))
}
