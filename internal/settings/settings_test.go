package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// Guards against settings that the environment cannot set, and against an
// environment variable that overrides a flag.
func TestEnvironment(t *testing.T) {
	t.Setenv("BERYLFALL_PEERS", "10.0.0.1:1,10.0.0.2:2")
	t.Setenv("BERYLFALL_SAMPLES", "7")
	t.Setenv("BERYLFALL_NAME", "from-environment")
	d, err := Parse([]string{"--name", "from-flag"})
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Peers) != 2 || d.Peers[1] != "10.0.0.2:2" || d.Samples != 7 || d.Name != "from-flag" {
		t.Errorf("settings = %+v", d)
	}
	t.Setenv("BERYLFALL_SAMPLES", "0")
	if _, err := Parse(nil); err == nil || !strings.Contains(err.Error(), `--samples: is out of range (got "0", allowed: 1 to 4096)`) {
		t.Errorf("error = %v, want one about --samples", err)
	}
}

// Guards against the loss of tokens when the file is partially written or
// missing, against a token that is accepted after its expiry, and against an
// error that contains a token.
func TestTokensKeepTheLastGoodFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	tokens := NewTokens(path, func() time.Time { return now })
	write(`tokens: [{name: a, token: token-of-the-operator, role: operator, expires: "2027-01-01T00:01:00Z"}]`)
	if err := tokens.Reload(); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"tokens: [{name: a, token: token-of-the-op", "tokens: [{name: a, token: token-of-the-operator, rolle: x}]", "tokens: 5"} {
		write(text)
		err := tokens.Reload()
		if err == nil || strings.Contains(err.Error(), "token-of-the") {
			t.Errorf("reload of %q: error %v, want one without the token", text, err)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := tokens.Reload(); err == nil {
		t.Error("the missing file was not reported")
	}
	if p, err := tokens.Authenticate("token-of-the-operator"); err != nil || p.Name != "a" {
		t.Errorf("principal = %+v, %v, want a", p, err)
	}
	now = now.Add(time.Minute)
	if _, err := tokens.Authenticate("token-of-the-operator"); err == nil {
		t.Error("the token is accepted at its expiry")
	}
	if _, err := tokens.Authenticate(""); err == nil {
		t.Error("an empty token is accepted")
	}
}

// Guards against output that scrapers cannot parse because of special characters
// in labels.
func TestMetricsText(t *testing.T) {
	loop := duty.New("d", duty.NewManualClock(time.Unix(0, 0)))
	m := NewMetrics(func() []*duty.Loop { return []*duty.Loop{loop} })
	m.Count("requests_total", Label{"customer", "a\"b\n\x1f\x1e"})
	m.Count("requests_total", Label{"customer", "a\"b\n\x1f\x1e"})
	var text bytes.Buffer
	if err := m.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"# TYPE berylfall_requests_total counter\nberylfall_requests_total{customer=\"a\\\"b\\n\"} 2\n",
		"# TYPE berylfall_ring_depth gauge\nberylfall_ring_depth{duty=\"d\",ring=\"d.timers\"} 0\n",
		"berylfall_duty_handled_total{duty=\"d\"} 0\n",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("text lacks %q:\n%s", want, text.String())
		}
	}
}
