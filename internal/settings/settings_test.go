package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

func TestErrHasOneLinePerInvalidSetting(t *testing.T) {
	var c Checker
	c.RequireName("vm", "entry 1")
	c.RequireAddress("callers", "8080")
	c.RequireAddress("fleet", "localhost:70000")
	c.RequirePositive("drain-timeout", 0)
	c.RequireAtLeast("capacity", 0, 1)
	c.RequireURL("vm-list", "10.0.0.9")
	err := c.Err()
	if !errors.Is(err, ErrInvalid) {
		t.Fatalf("Err() = %v, want ErrInvalid", err)
	}
	lines := strings.Split(err.Error(), "\n")
	want := []string{
		"--vm (HYSSOP_VM)", "--callers (HYSSOP_CALLERS)", "--fleet (HYSSOP_FLEET)", "--fleet (HYSSOP_FLEET)",
		"--drain-timeout (HYSSOP_DRAIN_TIMEOUT)", "--capacity (HYSSOP_CAPACITY)", "--vm-list (HYSSOP_VM_LIST)",
	}
	if len(lines) != len(want) {
		t.Fatalf("Err() has %d lines, want %d:\n%s", len(lines), len(want), err)
	}
	for i, line := range lines {
		if !strings.HasPrefix(line, want[i]+": ") {
			t.Errorf("line is %q, want it to begin with %q", line, want[i])
		}
	}
}

func TestErrIsNilForValidSettings(t *testing.T) {
	var c Checker
	c.RequireName("vm", "entry-1")
	c.RequireAddress("callers", "127.0.0.1:8080")
	c.RequireAddress("admin", ":0")
	c.RequireURL("vm-list", "http://10.0.0.9:8501/vms")
	if err := c.Err(); err != nil {
		t.Errorf("Err() = %v, want nil for valid settings", err)
	}
}

// A deployment without the bound fills the template of a duration with an empty number, which must mean the default.
func TestOptionalDurationWithoutNumberIsNotSet(t *testing.T) {
	for text, want := range map[string]time.Duration{"": time.Minute, "ms": time.Minute, "s": time.Minute, "4500ms": 4500 * time.Millisecond, "0s": 0} {
		var d OptionalDuration
		if err := d.Set(text); err != nil || d.Or(time.Minute) != want || d.IsSet() != (want != time.Minute) {
			t.Errorf("%q: duration = %s, set = %t, error %v, want %s", text, d.Or(time.Minute), d.IsSet(), err, want)
		}
	}
	var d OptionalDuration
	if err := d.Set("5"); err == nil {
		t.Error("a duration without a unit is valid")
	}
}

func TestStringMap(t *testing.T) {
	for text, want := range map[string]int{"": 0, "{}": 0, "null": 0, `{"a":"north","b":"south"}`: 2} {
		var m StringMap
		if err := m.Set(text); err != nil || len(m) != want {
			t.Errorf("%q: map = %v, error %v, want %d entries", text, m, err, want)
		}
	}
	for _, text := range []string{"a=north", `["a"]`, `{"a":1}`} {
		var m StringMap
		if err := m.Set(text); err == nil {
			t.Errorf("%q is valid", text)
		}
	}
}
