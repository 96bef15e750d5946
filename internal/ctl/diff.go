package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// printDiff prints the fields that differ between two JSON objects.
func (e *Env) printDiff(label string, current, wanted []byte) {
	var a, b map[string]any
	if err := errors.Join(decode(current, &a), decode(wanted, &b)); err != nil {
		e.printf("%s: %v\n", label, err)
		return
	}
	e.printf("%s:\n", label)
	for _, k := range fieldNames(a, b) {
		before, after := fmt.Sprint(a[k]), fmt.Sprint(b[k])
		if before == after || (isEmpty(a[k]) && isEmpty(b[k])) {
			continue
		}
		if _, ok := a[k]; ok {
			e.printf("  - %s: %s\n", k, before)
		}
		if _, ok := b[k]; ok {
			e.printf("  + %s: %s\n", k, after)
		}
	}
}

func decode(data []byte, out *map[string]any) error {
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, out)
}

func fieldNames(ms ...map[string]any) []string {
	var names []string
	for _, m := range ms {
		for k := range m {
			if !slices.Contains(names, k) {
				names = append(names, k)
			}
		}
	}
	slices.Sort(names)
	return names
}

// isEmpty reports whether a field is missing or is an object without fields, which
// is equivalent.
func isEmpty(v any) bool {
	m, ok := v.(map[string]any)
	return v == nil || (ok && len(m) == 0)
}
