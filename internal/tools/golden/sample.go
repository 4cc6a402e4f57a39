package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

var (
	rawMessageType = reflect.TypeFor[json.RawMessage]()
	durationType   = reflect.TypeFor[time.Duration]()
)

// Fill sets all exported fields of the value that v points to, including nested ones, to distinct values that follow the order
// of the fields; booleans are set to true. Fields that JSON or CBOR omit remain zero.
func Fill(v any) {
	var s sampler
	s.fill(reflect.ValueOf(v).Elem())
}

// sampler numbers the values that it fills.
type sampler struct {
	number int
}

func (s *sampler) fill(v reflect.Value) {
	s.number++
	if v.Type() == rawMessageType {
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, s.number))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		s.fillInt(v)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(s.number))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(s.number) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", s.number))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		s.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		s.fillElements(v)
	case reflect.Array:
		s.fillElements(v)
	case reflect.Map:
		s.fillMap(v)
	case reflect.Struct:
		s.fillFields(v)
	}
}

// fillInt sets an integer. Durations are multiples of a millisecond, because some stored formats have no finer resolution.
func (s *sampler) fillInt(v reflect.Value) {
	n := int64(s.number)
	if v.Type() == durationType {
		n *= int64(time.Millisecond)
	}
	v.SetInt(n)
}

func (s *sampler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		s.fill(v.Index(i))
	}
}

func (s *sampler) fillMap(v reflect.Value) {
	key := reflect.New(v.Type().Key()).Elem()
	s.fill(key)
	value := reflect.New(v.Type().Elem()).Elem()
	s.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (s *sampler) fillFields(v reflect.Value) {
	for i := range v.NumField() {
		if isSerialized(v.Type().Field(i)) {
			s.fill(v.Field(i))
		}
	}
}

func isSerialized(field reflect.StructField) bool {
	return field.IsExported() && field.Tag.Get("json") != "-" && field.Tag.Get("cbor") != "-"
}
