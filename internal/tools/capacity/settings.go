package capacity

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrUnknownSetting tells that a size or a design has no value of a name.
var ErrUnknownSetting = errors.New("unknown setting")

// ErrInvalidSetting tells that a text is no number or duration over 0.
var ErrInvalidSetting = errors.New("not a value over 0")

// setting parses a text and stores its value. It stores nothing when it fails.
type setting func(text string) error

func positiveInt(target *int) setting { return positive(target, strconv.Atoi) }

func positiveDuration(target *time.Duration) setting { return positive(target, time.ParseDuration) }

func positiveFloat(target *float64) setting {
	return positive(target, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

func positive[T int | float64 | time.Duration](target *T, parse func(string) (T, error)) setting {
	return func(text string) error {
		value, err := parse(text)
		isPositive := value > 0 // false for a NaN
		if err != nil || !isPositive {
			return ErrInvalidSetting
		}
		*target = value
		return nil
	}
}

func set(settings map[string]setting, name, value string) error {
	store, isKnown := settings[name]
	if !isKnown {
		return fmt.Errorf("capacity: %w %q", ErrUnknownSetting, name)
	}
	if err := store(value); err != nil {
		return fmt.Errorf("capacity: %s: %q is %w", name, strings.TrimSpace(value), err)
	}
	return nil
}
