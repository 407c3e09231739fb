package settings

import (
	"encoding/json"

	"github.com/juju/errors"
)

// StringMap is the value of a flag that is a JSON object of strings. Empty text is an empty map. It implements
// kingpin.Value.
type StringMap map[string]string

// Set parses text.
func (m *StringMap) Set(text string) error {
	*m = nil
	if text == "" {
		return nil
	}
	return errors.Trace(json.Unmarshal([]byte(text), (*map[string]string)(m)))
}

// String returns the JSON object, "" for an empty map.
func (m *StringMap) String() string {
	if len(*m) == 0 {
		return ""
	}
	data, _ := json.Marshal(*m) // Strings cannot fail.
	return string(data)
}
