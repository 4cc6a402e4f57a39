package golden

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Values returns a text with all exported values in v, in the order of their fields and without field names.
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
	if text, isStringer := v.Interface().(fmt.Stringer); isStringer && v.Kind() != reflect.Pointer {
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
		writeList(b, v)
	case reflect.Map:
		writeMap(b, v)
	case reflect.Struct:
		writeStruct(b, v)
	case reflect.Func, reflect.Chan:
		b.WriteString("- ")
	default:
		fmt.Fprintf(b, "%v ", v.Interface())
	}
}

func writeList(b *strings.Builder, v reflect.Value) {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		fmt.Fprintf(b, "%x ", v.Interface())
		return
	}
	b.WriteString("[")
	for i := range v.Len() {
		write(b, v.Index(i))
	}
	b.WriteString("]\n")
}

func writeStruct(b *strings.Builder, v reflect.Value) {
	b.WriteString("{")
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			write(b, v.Field(i))
		}
	}
	b.WriteString("}\n")
}

// writeMap writes the entries sorted by their text, so that the result doesn't depend on the iteration order.
func writeMap(b *strings.Builder, v reflect.Value) {
	var entries []string
	for entry := v.MapRange(); entry.Next(); {
		entries = append(entries, Values(entry.Key().Interface())+Values(entry.Value().Interface()))
	}
	slices.Sort(entries)
	fmt.Fprintf(b, "(%s)\n", strings.Join(entries, ""))
}
