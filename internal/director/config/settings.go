package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// flattenSettings turns nested settings into the path=value pairs of the simulator's first message, so that one parser
// reads both.
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

// appendPairs appends the pairs of a value. The keys of an object are joined by dots. A list of plain values is joined by
// commas. A list of objects has its length under the key count, and its items under their indexes.
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

// separators replaces what separates values in the simulator's messages.
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
