package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// flattenSettings converts nested settings to the path=value pairs used in the simulator's first message, so that one parser
// handles both.
func flattenSettings(raw json.RawMessage) (pairs []string, err error) {
	if len(raw) == 0 {
		return nil, ErrNoSettings
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return appendPairs(nil, "", tree), nil
}

// appendPairs appends the pairs of a value. Keys of nested objects are joined by dots, and plain values in a list by commas. For
// a list of objects, the key count has its length, and each item has its index as key.
func appendPairs(pairs []string, path string, value any) []string {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			pairs = appendPairs(pairs, strings.TrimPrefix(path+"."+key, "."), v[key])
		}
		return pairs
	case []any:
		if isObjectList(v) {
			pairs = append(pairs, fmt.Sprintf("%s.count=%d", path, len(v)))
			for i, item := range v {
				pairs = appendPairs(pairs, fmt.Sprintf("%s.%d", path, i), item)
			}
			return pairs
		}
		items := make([]string, len(v))
		for i, item := range v {
			items[i] = plainValue(item)
		}
		return append(pairs, path+"="+strings.Join(items, ","))
	default:
		return append(pairs, path+"="+plainValue(v))
	}
}

func isObjectList(list []any) bool {
	if len(list) == 0 {
		return false
	}
	_, isObject := list[0].(map[string]any)
	return isObject
}

// separators replaces the characters that separate values in the simulator's messages.
var separators = strings.NewReplacer(" ", "_", ",", "_")

func plainValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case json.Number:
		return v.String()
	case string:
		return separators.Replace(v)
	default:
		return fmt.Sprint(v)
	}
}
