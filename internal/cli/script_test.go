package cli

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/server"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/standin/engine"
	"github.com/berylfall/berylfall/internal/standin/objectapi"
	"github.com/berylfall/berylfall/internal/standin/plain"
)

// waitTimeout bounds waits for events that normally take milliseconds to seconds.
const waitTimeout = 60 * time.Second

// testCluster is the environment of one script: an object API, two backend servers
// and the daemons that the script starts.
type testCluster struct {
	runner  *duty.Runner
	api     *objectapi.Server
	daemons []*server.Server
}

// Runs the scripts in testdata, which check exit codes and messages of the
// commands end to end and that invalid input changes nothing. The head of each
// script states the failures it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			cluster, err := newTestCluster()
			if err != nil {
				return err
			}
			env.Defer(cluster.stop)
			env.Values["cluster"] = cluster
			for _, name := range []string{"prairie", "kartvel"} {
				data, err := os.ReadFile(filepath.Join("..", "..", "contracts", name+".yaml"))
				if err != nil {
					return err
				}
				if err := os.WriteFile(filepath.Join(env.WorkDir, name+".yaml"), data, 0o600); err != nil {
					return err
				}
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"berylfall": runBerylfall,
			"until":     runUntil,
			"daemon":    runDaemon,
			"settings":  runSettings,
			"store":     runStore,
			"http":      runHTTP,
			"keypair":   runKeyPair,
		},
	})
}

func newTestCluster() (*testCluster, error) {
	clock := duty.SystemClock{}
	runner, err := duty.NewRunner(16)
	if err != nil {
		return nil, err
	}
	cluster := &testCluster{runner: runner}
	if cluster.api, err = objectapi.Start("127.0.0.1:0", clock, runner); err != nil {
		return nil, err
	}
	model, err := engine.Start("127.0.0.1:0", clock, runner, engine.Options{
		Service: "wear-model", Kind: "gpu", Model: "wear", Version: 7, ContextTokens: 8192, Slots: 8, TokenTime: time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	desk, err := plain.Start("127.0.0.1:0", clock, runner, plain.Options{Service: "card-desk", Kind: "cpu", Operations: []string{"lookup", "copy", "issue"}})
	if err != nil {
		return nil, err
	}
	cluster.api.SetHosts(context.Background(), []platform.Host{
		{Name: "e1", Role: platform.RoleBackend, Address: model.Address(), State: platform.HostLive},
		{Name: "p1", Role: platform.RoleBackend, Address: desk.Address(), State: platform.HostLive},
	})
	return cluster, nil
}

func (c *testCluster) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, d := range c.daemons {
		d.Stop(ctx)
	}
	c.runner.Stop(ctx)
}

func clusterOf(ts *testscript.TestScript) *testCluster { return ts.Value("cluster").(*testCluster) }

func testApp(ts *testscript.TestScript, stdout, stderr io.Writer) *App {
	return &App{
		Stdout: stdout, Stderr: stderr, Getenv: ts.Getenv,
		ReadFile:  func(path string) ([]byte, error) { return os.ReadFile(ts.MkAbs(path)) },
		WriteFile: func(path string, data []byte) error { return os.WriteFile(ts.MkAbs(path), data, 0o600) },
		Sleep:     time.Sleep,
		Version:   "test",
	}
}

// runBerylfall implements "berylfall CODE ARGS...": it runs the command and checks
// the exit code.
func runBerylfall(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	if got := testApp(ts, ts.Stdout(), ts.Stderr()).Run(context.Background(), args[1:]); got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// runUntil implements "until CODE TEXT ARGS...": it repeats the command until it
// exits with the code and its output contains the text.
func runUntil(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var out bytes.Buffer
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		out.Reset()
		got := testApp(ts, &out, &out).Run(context.Background(), args[2:])
		if got == want && strings.Contains(out.String(), args[1]) {
			_, _ = ts.Stdout().Write(out.Bytes())
			return
		}
	}
	ts.Fatalf("no exit code %d with %q; last output:\n%s", want, args[1], out.String())
}

// runDaemon implements "daemon FLAGS...": it starts a daemon and sets its
// addresses in the environment. The operator address of a second daemon is set as
// SECOND_ADDRESS.
func runDaemon(ts *testscript.TestScript, _ bool, args []string) {
	cluster := clusterOf(ts)
	set, err := settings.Parse(append([]string{
		"--name", fmt.Sprint("d", len(cluster.daemons)+1), "--platform-url", cluster.api.URL(),
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
	}, args...))
	ts.Check(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := server.Start(set, log)
	ts.Check(err)
	cluster.daemons = append(cluster.daemons, d)
	scheme := "http://"
	if set.TLSCertificate != "" {
		scheme = "https://"
	}
	if len(cluster.daemons) > 1 {
		ts.Setenv("SECOND_ADDRESS", scheme+d.OperatorAddress())
		return
	}
	ts.Setenv("BERYLFALL_ADDRESS", scheme+d.OperatorAddress())
	ts.Setenv("BERYLFALL_CALLER_ADDRESS", scheme+d.CallerAddress())
}

// runSettings implements "settings CODE FLAGS...": it validates the flags as
// berylfalld does at startup. Any code but 0 expects an error.
func runSettings(ts *testscript.TestScript, _ bool, args []string) {
	_, err := settings.Parse(args[1:])
	if err != nil {
		_, _ = fmt.Fprintln(ts.Stderr(), err)
	}
	if (args[0] == "0") != (err == nil) {
		ts.Fatalf("error %v, want exit code %s", err, args[0])
	}
}

// runStore implements "store STATE": it injects faults into the fake object API.
func runStore(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]objectapi.Faults{
		"up":           {},
		"down":         {Down: true},
		"lose-answers": {LoseAnswers: 1},
	}
	f, ok := faults[args[0]]
	if !ok {
		ts.Fatalf("unknown state of the store %q", args[0])
	}
	clusterOf(ts).api.SetFaults(context.Background(), f)
}

// runHTTP implements "http STATUS METHOD URL BODY [HEADER:VALUE...]": it sends the
// request, prints the verdict and the body, and checks the status. A body "size:N"
// has N bytes; "chunked:N" has N bytes and no Content-Length.
func runHTTP(ts *testscript.TestScript, _ bool, args []string) {
	var body io.Reader = strings.NewReader(args[3])
	for _, prefix := range []string{"size:", "chunked:"} {
		if n, ok := strings.CutPrefix(args[3], prefix); ok {
			size, err := strconv.Atoi(n)
			ts.Check(err)
			body = strings.NewReader(strings.Repeat("x", size))
			if prefix == "chunked:" {
				body = io.MultiReader(body)
			}
		}
	}
	req, err := http.NewRequest(args[1], args[2], body)
	ts.Check(err)
	for _, header := range args[4:] {
		name, value, _ := strings.Cut(header, ":")
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, _ = fmt.Fprintf(ts.Stdout(), "verdict=%s\n%s\n", resp.Header.Get("Berylfall-Verdict"), text)
	if strconv.Itoa(resp.StatusCode) != args[0] {
		ts.Fatalf("status %d, want %s: %s", resp.StatusCode, args[0], text)
	}
}

// runKeyPair implements "keypair CERT KEY": it writes a self-signed certificate and
// its private key.
func runKeyPair(ts *testscript.TestScript, _ bool, args []string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	ts.Check(err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	for path, block := range map[string]*pem.Block{args[0]: {Type: "CERTIFICATE", Bytes: certificate}, args[1]: {Type: "PRIVATE KEY", Bytes: der}} {
		ts.Check(os.WriteFile(ts.MkAbs(path), pem.EncodeToMemory(block), 0o600))
	}
}
