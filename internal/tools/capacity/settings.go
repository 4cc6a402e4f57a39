package capacity

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrUnknownSetting is returned if a size or a design has no setting with the given name.
var ErrUnknownSetting = errors.New("unknown setting")

// ErrInvalidSetting is returned if a text is not a valid number or duration, or if its value is not greater than 0.
var ErrInvalidSetting = errors.New("not a value greater than 0")

// setting parses a text and stores its value. It stores nothing if it returns an error.
type setting func(text string) error

func positiveInt(target *int) setting { return parsePositive(target, strconv.Atoi) }

func positiveDuration(target *time.Duration) setting {
	return parsePositive(target, time.ParseDuration)
}

func positiveFloat(target *float64) setting {
	return parsePositive(target, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

func parsePositive[T int | float64 | time.Duration](target *T, parse func(string) (T, error)) setting {
	return func(text string) error {
		value, err := parse(text)
		isPositive := value > 0 // false for NaN
		if err != nil || !isPositive {
			return ErrInvalidSetting
		}
		*target = value
		return nil
	}
}

func setByName(settings map[string]setting, name, value string) error {
	store, isKnown := settings[name]
	if !isKnown {
		return fmt.Errorf("capacity: %w %q", ErrUnknownSetting, name)
	}
	if err := store(value); err != nil {
		return fmt.Errorf("capacity: %s: %q is %w", name, strings.TrimSpace(value), err)
	}
	return nil
}
