package lint

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a check that no longer finds violations.
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

// Guards against names of the users' platform outside the adapter packages.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	root := t.TempDir()
	text := "package x\n\nconst a = \"Attempt-Id\"\n\ntype m struct {\n\tF int `json:\"fencingToken\"`\n}\n\nconst own = \"Berylfall-Deadline-Ms\"\n"
	write(t, root, "internal/caller/a.go", text)
	write(t, root, "platform/a.go", text)
	findings, err := Check(root)
	if err != nil || len(findings) != 2 {
		t.Errorf("findings %v, %v, want 2 in internal/caller", findings, err)
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
