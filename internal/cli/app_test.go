package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/operator/operatorhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

func runCommand(t *testing.T, address string, args ...string) (code int, output string) {
	t.Helper()
	var out bytes.Buffer
	app := &App{
		Stdout: &out, Stderr: &out, ReadFile: os.ReadFile, Sleep: time.Sleep, Version: "test",
		Getenv: func(name string) string {
			if strings.HasSuffix(name, "ADDRESS") {
				return address
			}
			return ""
		},
	}
	code = app.Run(context.Background(), args)
	return code, out.String()
}

// Guards against the exit code for "failed" when a change may have taken effect:
// the connection closes before the answer, the answer is not valid JSON, or an
// intermediary answers with an error of its own.
func TestLostAnswerToChange(t *testing.T) {
	answers := map[string]func(http.ResponseWriter){
		"connection closed": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"no JSON":           func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "{") },
		"foreign error":     func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) },
	}
	for name, answer := range answers {
		var writes atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				w.WriteHeader(http.StatusNotFound)
				_, _ = fmt.Fprint(w, `{"error":{"code":"not-found","verdict":"not-run","message":"no such contract"}}`)
				return
			}
			writes.Add(1)
			answer(w)
		}))
		code, output := runCommand(t, server.URL, "contract", "apply", "-f", "../../contracts/prairie.yaml")
		if code != ExitUnknownOutcome || writes.Load() != 1 {
			t.Errorf("%s: exit code %d after %d writes, want %d after 1; output: %s", name, code, writes.Load(), ExitUnknownOutcome, output)
		}
		writes.Store(0)
		code, output = runCommand(t, server.URL, "request", "--customer", "c", "--service", "s", "--operation", "o")
		if code != ExitUnknownOutcome || writes.Load() != 1 {
			t.Errorf("%s: request: exit code %d after %d sends, want %d after 1; output: %s", name, code, writes.Load(), ExitUnknownOutcome, output)
		}
		server.Close()
	}
}

// Guards against the exit code for "failed; nothing changed" when the drain began and
// requests are still in flight, and when a plain service ran a request and answered
// with an error status.
func TestFailureAfterEffect(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case operatorhttp.PathDrain:
			_, _ = fmt.Fprint(w, `{"draining":true,"inFlight":2}`)
		case operatorhttp.PathStatus:
			_, _ = fmt.Fprint(w, `{"drain":{"draining":true,"inFlight":2}}`)
		default:
			w.Header().Set(transport.HeaderVerdict, core.Ran.String())
			w.WriteHeader(http.StatusConflict)
		}
	}))
	defer server.Close()
	for _, args := range [][]string{
		{"drain", "--wait", "1ms"},
		{"request", "--customer", "c", "--service", "s", "--operation", "o"},
	} {
		if code, output := runCommand(t, server.URL, args...); code != ExitUnknownOutcome {
			t.Errorf("%v: exit code %d, want %d; output: %s", args, code, ExitUnknownOutcome, output)
		}
	}
}

// Guards against the exit code for "may have taken effect" when the answer to a
// read is lost.
func TestLostAnswerToRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	for _, args := range [][]string{{"status"}, {"burn"}, {"contract", "list"}, {"explain", "r"}, {"contract", "apply", "-f", "../../contracts/prairie.yaml"}} {
		if code, output := runCommand(t, server.URL, args...); code != ExitFailed {
			t.Errorf("%v: exit code %d, want %d; output: %s", args, code, ExitFailed, output)
		}
	}
}

// Guards against a command without help text or example.
func TestHelp(t *testing.T) {
	s := &session{}
	commands := [][]string{{}, {"contract"}}
	for _, r := range s.contractCommands() {
		commands = append(commands, []string{"contract", r.name})
	}
	for _, r := range s.rootCommands() {
		commands = append(commands, []string{r.name})
	}
	for _, command := range commands {
		code, output := runCommand(t, "", append(command, "--help")...)
		if code != ExitOK || !strings.Contains(output, "Example: berylfall") && !strings.Contains(output, "Example: source") {
			t.Errorf("%v: exit code %d, help without example: %s", command, code, output)
		}
	}
	for _, shell := range []string{"bash", "zsh"} {
		if code, output := runCommand(t, "", "completion", shell); code != ExitOK || !strings.Contains(output, "complete -F _berylfall berylfall") {
			t.Errorf("completion %s: exit code %d, %s", shell, code, output)
		}
	}
}
