package lint

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a check that silently stops finding breaches.
func TestCheckFindsEachBreach(t *testing.T) {
	root := t.TempDir()
	write(t, root, "internal/caller/a.go", `package caller

import (
	_ "github.com/berylfall/berylfall/internal/caller/callerhttp"
	_ "github.com/cloudwego/hertz/pkg/app"
)

func f() {
	c := make(chan int)
	go f()
	select {
	case <-c:
	default:
	}
}
`)
	write(t, root, "internal/duty/b.go", "package duty\n\nfunc f() { c := make(chan int); go f(); <-c }\n")
	findings, err := Check(root)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"encoding", "transport library", "channel", "go statement", "select statement"}
	if len(findings) != len(want) {
		t.Fatalf("findings = %v, want %d", findings, len(want))
	}
	for i, w := range want {
		if !strings.Contains(findings[i].Rule, w) {
			t.Errorf("finding %d = %s, want one about %q", i, findings[i], w)
		}
	}
}

func write(t *testing.T, root, name, content string) {
	t.Helper()
	path := filepath.Join(root, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}
