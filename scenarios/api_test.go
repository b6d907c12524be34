package scenarios

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/server"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/standin/deployment"
)

// example is one request of docs/api.md with the expected status.
type example struct {
	target, method, path, body string
	header                     http.Header
	status                     int
}

var exampleBlock = regexp.MustCompile("(?s)```http (callers|operators)\n(.*?)\n\n=> (\\d+)\n```")

func readExamples(t *testing.T, file string) []example {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var examples []example
	for _, match := range exampleBlock.FindAllStringSubmatch(string(content), -1) {
		head, body, _ := strings.Cut(match[2], "\n\n")
		lines := strings.Split(strings.TrimSpace(head), "\n")
		method, path, _ := strings.Cut(lines[0], " ")
		e := example{target: match[1], method: method, path: path, body: body, header: http.Header{}}
		e.status, _ = strconv.Atoi(match[3])
		for _, line := range lines[1:] {
			name, value, _ := strings.Cut(line, ": ")
			e.header.Set(name, value)
		}
		examples = append(examples, e)
	}
	return examples
}

// Guards against examples in docs/api.md that do not work.
func TestExamplesOfTheAPIPage(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	addresses := startDaemonWithStandins(ctx, t)
	examples := readExamples(t, "../docs/api.md")
	if len(examples) < 10 {
		t.Fatalf("the page has %d examples", len(examples))
	}
	for _, e := range examples {
		name := fmt.Sprintf("%s %s", e.method, e.path)
		url := "http://" + addresses[e.target] + e.path
		arguments := []string{e.method, url, "-d", e.body}
		for key := range e.header {
			arguments = append(arguments, "-H", key+":"+e.header.Get(key))
		}
		a := send(arguments)
		// A daemon that has just started rejects calls with the verdict not-run
		// until it has received its contracts and backend servers.
		for a.status != e.status && a.header.Get("Berylfall-Verdict") == "not-run" && ctx.Err() == nil {
			time.Sleep(retryInterval)
			a = send(arguments)
		}
		if a.err != nil || a.status != e.status {
			t.Errorf("%s: status %d (%v), want %d: %s", name, a.status, a.err, e.status, a.body)
		}
	}
}

func startDaemonWithStandins(ctx context.Context, t *testing.T) map[string]string {
	t.Helper()
	standins, err := deployment.Start(ctx, deployment.Spec{
		Engines: []deployment.EngineSpec{{
			Name: "wear", Count: 2, Service: "wear-model", Kind: "gpu", Model: "wear", Version: 3,
			Adapters: []string{"strap"}, Slots: 8, TokenTime: time.Millisecond,
		}},
		Plains: []deployment.PlainSpec{{
			Name: "desk", Count: 2, Service: "card-desk", Kind: "cpu", Operations: []string{"lookup", "issue"},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { standins.Stop(context.Background()) })
	set, err := settings.Parse([]string{
		"--drain-grace", "0s", "--platform-url", standins.PlatformURL(),
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := server.Start(set, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop(context.Background()) })
	return map[string]string{"callers": d.CallerAddress(), "operators": d.OperatorAddress()}
}
