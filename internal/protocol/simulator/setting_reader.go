package simulator

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// maxSetting is the maximum absolute value of a numeric setting.
const maxSetting = 1e15

// settingReader reads settings from words of the form key=value. Keys that are never read are
// ignored. A setting that is missing or absent has the zero value. The reader keeps the first error.
type settingReader struct {
	values map[string]string
	err    error
}

func newSettingReader(words []string) (*settingReader, error) {
	s := &settingReader{values: make(map[string]string, len(words))}
	for _, word := range words {
		key, value, found := strings.Cut(word, "=")
		if !found || key == "" {
			return nil, fmt.Errorf("field Options: %q is not path=value", word)
		}
		s.values[key] = value
	}
	return s, nil
}

func (s *settingReader) fail(key, problem string) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: %s", key, problem)
	}
}

func (s *settingReader) text(key string) string { return s.values[key] }

// list reads a comma-separated list.
func (s *settingReader) list(key string) []string {
	value := s.values[key]
	if value == "" || value == absent {
		return nil
	}
	return strings.Split(value, ",")
}

func (s *settingReader) parseNumber(key, value string) float64 {
	if value == "" || value == absent {
		return 0
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxSetting {
		s.fail(key, "not a number")
		return 0
	}
	return x
}

func (s *settingReader) number(key string) float64 { return s.parseNumber(key, s.values[key]) }
func (s *settingReader) integer(key string) int    { return int(s.number(key)) }

// time reads a duration in milliseconds. Durations above maxMillis are reduced to it.
func (s *settingReader) time(key string) time.Duration {
	return fromMillis(min(s.number(key), maxMillis))
}

func (s *settingReader) numbers(key string) []float64 {
	var out []float64
	for _, v := range s.list(key) {
		out = append(out, s.parseNumber(key, v))
	}
	return out
}

func (s *settingReader) integers(key string) []int {
	var out []int
	for _, x := range s.numbers(key) {
		out = append(out, int(x))
	}
	return out
}

func (s *settingReader) flags(key string) []bool {
	var out []bool
	for _, v := range s.list(key) {
		out = append(out, s.parseFlag(key, v))
	}
	return out
}

func (s *settingReader) flag(key string) bool { return s.parseFlag(key, s.values[key]) }

func (s *settingReader) parseFlag(key, value string) bool {
	switch value {
	case "true", "1":
		return true
	case "false", "0", "", absent:
	default:
		s.fail(key, "not true or false")
	}
	return false
}

// valueAt returns values[i], or the zero value if the list is shorter.
func valueAt[T any](values []T, i int) T {
	var zero T
	if i < len(values) {
		return values[i]
	}
	return zero
}
