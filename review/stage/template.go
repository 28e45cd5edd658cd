package stage

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a settings template as the pages' DEPLOY.md says, as far as the project's template uses it.
func render(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("placeholder %q has no end", tag)
		}
		text = after
		name, section := strings.CutPrefix(tag, "#")
		if !section {
			value, err := placeholder(tag, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(value)
			continue
		}
		inner, remainder, ended := strings.Cut(text, "{{/"+name+"}}")
		if !ended {
			return "", fmt.Errorf("section %q has no end", name)
		}
		text = remainder
		if lookup(name, fields) == nil {
			continue
		}
		value, err := render(inner, fields)
		if err != nil {
			return "", err
		}
		out.WriteString(value)
	}
}

func placeholder(tag string, fields map[string]any) (string, error) {
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := lookup(name, fields)
	if asJSON {
		data, err := json.Marshal(value)
		return string(data), err
	}
	if value == nil {
		return "", nil
	}
	return fmt.Sprint(value), nil
}

func lookup(name string, fields map[string]any) any {
	var value any = fields
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []int:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
