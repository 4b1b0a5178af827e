package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"ringtrack.example/ringtrack/policy"
)

// ParseSettings parses the JSON text of a boot record. Unknown keys are ignored. If a value has the wrong
// type, the error names its key.
func ParseSettings(text []byte) (policy.Settings, error) {
	var settings policy.Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return settings, fmt.Errorf("settings: %s: cannot be a %s", wrongType.Field, wrongType.Value)
		}
		return settings, fmt.Errorf("settings: no JSON: %w", err)
	}
	return settings, nil
}
