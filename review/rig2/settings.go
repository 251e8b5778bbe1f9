package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// render fills a template of the deploy folder, as far as the users' page on it is needed there:
// values, values as JSON, and sections that depend on whether a value is there.
func render(tmpl string, fields map[string]any) (string, error) {
	for {
		start := strings.Index(tmpl, "{{#")
		if start < 0 {
			break
		}
		nameEnd := strings.Index(tmpl[start:], "}}")
		if nameEnd < 0 {
			return "", fmt.Errorf("a section of the template has no name")
		}
		name := tmpl[start+3 : start+nameEnd]
		end := strings.Index(tmpl, "{{/"+name+"}}")
		if end < 0 {
			return "", fmt.Errorf("the section %s of the template has no end", name)
		}
		inner := ""
		if v, ok := lookup(fields, name); ok && v != false {
			inner = tmpl[start+nameEnd+2 : end]
		}
		tmpl = tmpl[:start] + inner + tmpl[end+len("{{/"+name+"}}"):]
	}
	var failed error
	out := placeholder.ReplaceAllStringFunc(tmpl, func(s string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(s, "{}"), "|json")
		v, ok := lookup(fields, name)
		if !ok {
			return ""
		}
		if asJSON {
			data, err := json.Marshal(v)
			if err != nil {
				failed = err
			}
			return string(data)
		}
		return fmt.Sprint(v)
	})
	return out, failed
}

var placeholder = regexp.MustCompile(`\{\{[^{}]+\}\}`)

// lookup returns the value at a path such as a.b or a.0.
func lookup(v any, path string) (any, bool) {
	for name := range strings.SplitSeq(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			next, ok := x[name]
			if !ok {
				return nil, false
			}
			v = next
		case []int:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(x) {
				return nil, false
			}
			v = x[i]
		default:
			return nil, false
		}
	}
	return v, true
}
