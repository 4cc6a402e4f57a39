package capacity

import (
	"math"
	"strconv"
	"strings"
)

// significantDigits is the number of digits displayed for a value.
const significantDigits = 3

// formatQuantity formats a value with its unit.
func formatQuantity(value float64, unit Unit) string {
	switch unit {
	case Bytes, BytesPerSecond:
		return formatWithPrefix(value, string(unit))
	case Seconds:
		return formatSeconds(value)
	case Machines:
		return formatSignificant(value)
	case Share:
		return formatPercent(value)
	}
	if value == 1 {
		return "1 core"
	}
	return formatSignificant(value) + " " + string(unit)
}

// formatWithPrefix formats a value with a decimal prefix (k, M, G or T) before its unit.
func formatWithPrefix(value float64, unit string) string {
	prefix := ""
	for _, next := range []string{"k", "M", "G", "T"} {
		if math.Abs(value) < 1000 {
			break
		}
		value /= 1000
		prefix = next
	}
	return strings.TrimSpace(formatSignificant(value) + " " + prefix + unit)
}

func formatSeconds(seconds float64) string {
	for _, unit := range []struct {
		name    string
		seconds float64
	}{
		{"s", 1},
		{"ms", 1e-3},
		{"us", 1e-6},
	} {
		if math.Abs(seconds) >= unit.seconds {
			return formatSignificant(seconds/unit.seconds) + " " + unit.name
		}
	}
	return formatSignificant(seconds/1e-9) + " ns"
}

func formatPercent(share float64) string { return formatSignificant(100*share) + " %" }

// formatSignificant formats a number with three significant digits and no exponent.
func formatSignificant(value float64) string {
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
