package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// walk appends the words of one value: an object's keys are joined by dots, a list of plain values by commas, and a
// list of objects states its length under .count.
func walk(v any, path string, words *[]string) {
	switch x := v.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(x)) {
			walk(x[key], strings.TrimPrefix(path+"."+key, "."), words)
		}
	case []any:
		if len(x) > 0 {
			if _, nested := x[0].(map[string]any); nested {
				*words = append(*words, fmt.Sprintf("%s.count=%d", path, len(x)))
				for i, item := range x {
					walk(item, fmt.Sprintf("%s.%d", path, i), words)
				}
				return
			}
		}
		plain := make([]string, len(x))
		for i, item := range x {
			plain[i] = leaf(item)
		}
		*words = append(*words, path+"="+strings.Join(plain, ","))
	default:
		*words = append(*words, path+"="+leaf(x))
	}
}

// plainText puts _ for what separates values on the simulator's wire.
var plainText = strings.NewReplacer(" ", "_", ",", "_")

func leaf(v any) string {
	switch x := v.(type) {
	case nil:
		return "-"
	case json.Number:
		return x.String()
	case string:
		return plainText.Replace(x)
	default:
		return fmt.Sprint(x)
	}
}
