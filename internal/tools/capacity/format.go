package capacity

import (
	"math"
	"strconv"
	"strings"
)

// significantDigits is how many digits of a value are shown.
const significantDigits = 3

// quantity is a value with its unit.
func quantity(value float64, unit Unit) string {
	switch unit {
	case Bytes, BytesPerSecond:
		return scaled(value, string(unit))
	case Seconds:
		return duration(value)
	case Machines:
		return significant(value)
	case Share:
		return percent(value)
	}
	if value == 1 {
		return "1 core"
	}
	return significant(value) + " " + string(unit)
}

// scaled is a value with a decimal prefix of its unit.
func scaled(value float64, unit string) string {
	prefix := ""
	for _, next := range []string{"k", "M", "G", "T"} {
		if math.Abs(value) < 1000 {
			break
		}
		value /= 1000
		prefix = next
	}
	return strings.TrimSpace(significant(value) + " " + prefix + unit)
}

func duration(seconds float64) string {
	for _, unit := range []struct {
		name    string
		seconds float64
	}{
		{"s", 1},
		{"ms", 1e-3},
		{"us", 1e-6},
	} {
		if math.Abs(seconds) >= unit.seconds {
			return significant(seconds/unit.seconds) + " " + unit.name
		}
	}
	return significant(seconds/1e-9) + " ns"
}

func percent(share float64) string { return significant(100*share) + " %" }

// significant is a number in three significant digits, without an exponent.
func significant(value float64) string {
	if value == 0 {
		return "0"
	}
	magnitude := int(math.Floor(math.Log10(math.Abs(value))))
	decimals := significantDigits - 1 - magnitude
	if decimals <= 0 {
		return strconv.FormatFloat(math.Round(value), 'f', 0, 64)
	}
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}
