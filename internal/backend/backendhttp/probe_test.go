package backendhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against one server whose impossible figures overflow the sums of its service, so
// that calls of the service wait for ever, or that seems to be idle or ahead of all others.
func TestOddFiguresAreRefused(t *testing.T) {
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	c := NewClient(Options{ReadIdleTimeout: time.Minute, ProbeTimeout: time.Minute})
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, figures := range []string{
		`"slots":-5`, `"slots":9000000000000000000`, `"slots":65537`, `"slots":99999999999999999999`, `"slots":1e400`, `"slots":1.5`, `"slots":"4"`, `"context_tokens":-1`,
		`"context_tokens":9000000000000000000`, `"models":[{"name":"m","version":-1}]`, `"models":[{"name":"m","version":9000000000000000000}]`, `"x":` + deep,
	} {
		body = `{"service":"s",` + figures + `}`
		if d, err := c.Describe(context.Background(), address); err == nil {
			t.Errorf("%.60s: %+v", figures, d)
		}
	}
	for _, figures := range []string{
		`"running":-1`, `"waiting":-1`, `"running":9000000000000000000`, `"waiting":1000001`, `"running":99999999999999999999`, `"running":1e400`, `"running":"1"`, `"at":"never"`, `"x":` + deep,
	} {
		body = `{` + figures + `}`
		if load, err := c.Load(context.Background(), address); err == nil {
			t.Errorf("%.60s: %+v", figures, load)
		}
	}
	body = `{"service":"s","slots":65536,"models":[{"name":"m","version":1}],"running":1000000,"waiting":0,"kv_used":-1e308}`
	if d, err := c.Describe(context.Background(), address); err != nil || d.Slots != 65536 {
		t.Errorf("%+v, %v", d, err)
	}
	if load, err := c.Load(context.Background(), address); err != nil || load.Running != 1_000_000 || load.KVUsed != 0 {
		t.Errorf("%+v, %v", load, err)
	}
}
