package entry

import "testing"

func TestReadinessNeedsConfigurationAndLimits(t *testing.T) {
	r := newReadiness()
	steps := []struct {
		step func()
		want string
	}{
		{func() {}, reasonConfig},
		{r.setLimitsReady, reasonConfig},
		{r.setConfigured, ""},
		{r.setDraining, reasonDraining},
		{r.setConfigured, reasonDraining},
	}
	for i, s := range steps {
		s.step()
		if got := r.status.Reason(); got != s.want {
			t.Errorf("step %d: Reason() = %q, want %q", i, got, s.want)
		}
	}
}
