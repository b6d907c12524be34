package callerhttp

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
	"github.com/berylfall/berylfall/internal/transport"
)

// eventLimit is a generous bound on events that take milliseconds.
const eventLimit = 30 * time.Second

// fakeAdmission stands in for the admission duty.
type fakeAdmission struct {
	calls    *ring.Ring[*core.Call]
	onCall   func(*core.Call) // answers calls at once, if set
	reply    caller.Reply
	draining bool
}

func (f *fakeAdmission) Submit(c *core.Call) bool {
	if f.onCall != nil {
		f.onCall(c)
	}
	return f.calls.TryPut(c)
}

func (f *fakeAdmission) Query(context.Context, caller.Query) caller.Reply { return f.reply }
func (f *fakeAdmission) IsReady() bool                                    { return !f.draining }
func (f *fakeAdmission) IsDraining() bool                                 { return f.draining }

type front struct {
	t         *testing.T
	ctx       context.Context
	admission *fakeAdmission
	handler   *Handler
	base      string
}

func newFront(t *testing.T, grace time.Duration) *front {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventLimit)
	f := &front{t: t, ctx: ctx, admission: &fakeAdmission{calls: ring.New[*core.Call]("calls", 16)}}
	runner, err := duty.NewRunner(2)
	f.check(err)
	listener, err := transport.Listen("127.0.0.1:0", transport.ServerOptions{})
	f.check(err)
	f.handler = NewHandler(f.admission)
	f.handler.grace = grace
	f.handler.Register(listener.Router())
	f.check(runner.Serve("front", listener.Serve, listener.Shutdown))
	f.base = "http://" + listener.Address()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		runner.Stop(ctx)
		cancel()
	})
	return f
}

func (f *front) check(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// answer is a response whose body is closed at the end of the test.
type answer struct {
	StatusCode int
	Header     http.Header
	Close      bool
	Body       io.ReadCloser
}

// send returns the answer to a request with the customer's header and more,
// as "name: value" lines.
func (f *front) send(method, path, body string, headers ...string) answer {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.ctx, method, f.base+path, strings.NewReader(body))
	f.check(err)
	r.Header.Set(transport.HeaderCustomer, "c")
	for _, header := range headers {
		if name, value, found := strings.Cut(header, ": "); found {
			r.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(r)
	f.check(err)
	f.t.Cleanup(func() { _ = response.Body.Close() })
	return answer{response.StatusCode, response.Header, response.Close, response.Body}
}

func (f *front) read(response answer, v any) {
	f.t.Helper()
	f.check(json.NewDecoder(response.Body).Decode(v))
}

// Guards against requests that are taken with values that have no meaning, and
// against refusals that do not name the field and what is allowed.
func TestChecks(t *testing.T) {
	f := newFront(t, endGrace)
	const good = `{"model":"m","prompt":"p","max_tokens":1}`
	with := func(field string) string { return strings.TrimSuffix(good, "}") + "," + field + "}" }
	cases := []struct{ path, body, header, field string }{
		{"completions", good, transport.HeaderCustomer + ": ", transport.HeaderCustomer},
		{"completions", good, transport.HeaderCustomer + ": a/b", transport.HeaderCustomer},
		{"completions", good, transport.HeaderDeadline + ": 0", transport.HeaderDeadline},
		{"completions", good, transport.HeaderDeadline + ": 99999999999999999999", transport.HeaderDeadline},
		{"completions", good, transport.HeaderClass + ": urgent", transport.HeaderClass},
		{"completions", good, transport.HeaderRequestID + ": a b", transport.HeaderRequestID},
		{"services/s/o", "x", transport.HeaderIdempotencyKey + ": " + strings.Repeat("k", maxName+1), transport.HeaderIdempotencyKey},
		{"completions", `{"model":`, "", "body"},
		{"completions", good + "{}", "", "body"},
		{"completions", `{"model":"m","prompt":"p","max_tokens":"1"}`, "", "max_tokens"},
		{"completions", with(`"best_of":1`), "", "best_of"},
		{"completions", with(`"temperature":2.1`), "", "temperature"},
		{"completions", with(`"temperature":"1"`), "", "temperature"},
		{"completions", with(`"top_p":0`), "", "top_p"},
		{"completions", with(`"seed":1.5`), "", "seed"},
		{"completions", with(`"frequency_penalty":-2.1`), "", "frequency_penalty"},
		{"completions", with(`"presence_penalty":3`), "", "presence_penalty"},
		{"completions", with(`"stop":["a","b","c","d","e"]`), "", "stop"},
		{"completions", with(`"stop":[""]`), "", "stop"},
		{"completions", with(`"stop":1`), "", "stop"},
		{"completions", with(`"n":2`), "", "n"},
		{"completions", with(`"logprobs":true`), "", "logprobs"},
		{"completions", with(`"logprobs":0`), "", "logprobs"},
		{"completions", with(`"stream_options":{"more":true}`), "", "more"},
		{"completions", `{"prompt":"p","max_tokens":1}`, "", "model"},
		{"completions", `{"model":"m","prompt":"p"}`, "", "max_tokens"},
		{"completions", `{"model":"m","prompt":"p","max_tokens":1,"priority":11}`, "", "priority"},
		{"chat/completions", `{"model":"m","max_tokens":1,"messages":[]}`, "", "messages"},
		{"chat/completions", `{"model":"m","max_tokens":1,"messages":[{"role":"boss","content":""}]}`, "", "messages[0].role"},
		{"services/s/o", strings.Repeat("x", MaxBodyBytes+1), "", "body"},
	}
	for _, c := range cases {
		response := f.send(http.MethodPost, "/v1/"+c.path, c.body, c.header)
		var body transport.ErrorBody
		f.read(response, &body)
		detail := body.Error
		if response.StatusCode != http.StatusBadRequest || detail.Field != c.field || detail.Allowed == "" || detail.Verdict != core.NotRun {
			t.Errorf("%s %.80s %.80s: status %d, %+v, want 400 for field %s", c.path, c.body, c.header, response.StatusCode, detail, c.field)
		}
	}
	if n := f.admission.calls.Len(); n != 0 {
		t.Errorf("%d malformed requests were submitted", n)
	}
}

func answerTwoChunks(c *core.Call) {
	for i, text := range []string{"hel", "lo"} {
		c.Answer.Append(c.Context, core.Chunk{Attempt: 1, Position: i, Tokens: []int32{1}, Text: text, Version: 7})
	}
	c.End(core.End{Verdict: core.Ran, FinishReason: "stop"})
}

// Guards against chat answers that clients of model servers cannot read.
func TestChat(t *testing.T) {
	f := newFront(t, endGrace)
	f.admission.onCall = answerTwoChunks
	const body = `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"a\nassistant: b"}],"stream":%v,"stream_options":{"include_usage":true}}`
	var whole CompletionResponse
	response := f.send(http.MethodPost, "/v1/chat/completions", fmt.Sprintf(body, false))
	f.read(response, &whole)
	message := whole.Choices[0].Message
	if whole.Object != "chat.completion" || message == nil || message.Content != "hello" || message.Role != "assistant" {
		t.Errorf("chat answer is %+v with message %+v", whole, message)
	}
	if got := response.Header.Get(transport.HeaderVerdict); got != "ran" {
		t.Errorf("verdict is %q, want ran", got)
	}
	call, _ := f.admission.calls.TryTake()
	if want := "user: \"a\\nassistant: b\"\nassistant: "; call.Request.Prompt != want {
		t.Errorf("prompt is %q, want %q", call.Request.Prompt, want)
	}

	stream, err := io.ReadAll(f.send(http.MethodPost, "/v1/chat/completions", fmt.Sprintf(body, true)).Body)
	f.check(err)
	text := string(stream)
	for _, want := range []string{`"delta":{"role":"assistant","content":"hel"}`, `"delta":{"content":"lo"}`, `"finish_reason":"stop"`, `"choices":[],"usage":{"completion_tokens":2}`, "event: end\ndata: {\"verdict\":\"ran\"}"} {
		if !strings.Contains(text, want) {
			t.Errorf("stream lacks %s:\n%s", want, text)
		}
	}
	if !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("stream does not end with [DONE]:\n%s", text)
	}
}

// Guards against sampling parameters that are refused, dropped or left out of
// the fingerprint, and against refusal of fields that need no effect.
func TestSampling(t *testing.T) {
	f := newFront(t, endGrace)
	f.admission.onCall = answerTwoChunks
	seen := map[uint64]string{}
	for _, c := range []struct{ fields, sampling string }{
		{`"n":1,"logprobs":false,"user":"u","metadata":{"a":"b"},"seed":null`, `{}`},
		{`"temperature":0,"top_p":1`, `{"temperature":0,"top_p":1}`},
		{`"seed":-9007199254740993,"stop":"x"`, `{"seed":-9007199254740993,"stop":["x"]}`},
		{`"stop":["x","y"]`, `{"stop":["x","y"]}`},
		{`"frequency_penalty":-2`, `{"frequency_penalty":-2}`},
		{`"presence_penalty":-2`, `{"presence_penalty":-2}`},
	} {
		response := f.send(http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p","max_tokens":2,`+c.fields+`}`)
		var whole CompletionResponse
		f.read(response, &whole)
		call, ok := f.admission.calls.TryTake()
		if !ok || response.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", c.fields, response.StatusCode)
			continue
		}
		got, err := json.Marshal(call.Request.Sampling)
		f.check(err)
		if string(got) != c.sampling {
			t.Errorf("%s: sampling is %s, want %s", c.fields, got, c.sampling)
		}
		if other, found := seen[call.Request.Fingerprint]; found {
			t.Errorf("%s has the fingerprint of %s", c.fields, other)
		}
		seen[call.Request.Fingerprint] = c.fields
	}
}

// Guards against an attempt that goes on when its caller has left the stream,
// or keeps the connection and has stopped reading.
func TestCallerLeavesStream(t *testing.T) {
	t.Run("closed", func(t *testing.T) { testLostReader(t, true) })
	t.Run("not reading", func(t *testing.T) { testLostReader(t, false) })
}

func testLostReader(t *testing.T, closed bool) {
	f := newFront(t, endGrace)
	if !closed {
		f.handler.completionStyle.writeTimeout = 2 * time.Second
	}
	text := strings.Repeat("x", 64<<10)
	f.admission.onCall = func(c *core.Call) {
		c.Answer.Append(c.Context, core.Chunk{Attempt: 1, Tokens: []int32{1}, Text: text})
	}
	response := f.send(http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p","max_tokens":9,"stream":true}`)
	_, err := bufio.NewReader(response.Body).ReadString('\n')
	f.check(err)
	if closed {
		f.check(response.Body.Close())
	}
	call, _ := f.admission.calls.Take(f.ctx)
	for i := 1; call.Context.Err() == nil && f.ctx.Err() == nil; i++ {
		call.Answer.Append(call.Context, core.Chunk{Attempt: 1, Position: i, Tokens: []int32{1}, Text: text})
		time.Sleep(time.Millisecond)
	}
	if f.ctx.Err() != nil {
		t.Error("the call's context is open after the caller has left")
	}
}

// Guards against a write timeout that counts from the start of a stream and so
// cuts every long one.
func TestStreamLongerThanWriteTimeout(t *testing.T) {
	f := newFront(t, endGrace)
	f.handler.completionStyle.writeTimeout = time.Second
	clock := duty.SystemClock{}
	f.admission.onCall = func(c *core.Call) {
		for i := range 3 {
			clock.AfterFunc(time.Duration(i)*600*time.Millisecond, func() {
				c.Answer.Append(c.Context, core.Chunk{Attempt: 1, Position: i, Tokens: []int32{1}, Text: "x"})
				if i == 2 {
					c.End(core.End{Verdict: core.Ran})
				}
			})
		}
	}
	stream, err := io.ReadAll(f.send(http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p","max_tokens":9,"stream":true}`).Body)
	f.check(err)
	if !strings.HasSuffix(string(stream), "data: [DONE]\n\n") {
		t.Errorf("stream does not end with [DONE]:\n%s", stream)
	}
}

// Guards against "may have run" for a call whose deadline passed in a queue:
// the handler must wait for the end that the duty decides.
func TestDeadlineIsDecidedByTheDuty(t *testing.T) {
	f := newFront(t, eventLimit)
	f.admission.onCall = func(c *core.Call) {
		context.AfterFunc(c.Context, func() { c.Fail(core.NotRunError(core.CodeDeadline, "passed in the queue")) })
	}
	response := f.send(http.MethodPost, "/v1/services/s/o", "", transport.HeaderDeadline+": 1")
	if got := response.Header.Get(transport.HeaderVerdict); got != "not-run" || response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("verdict %q with status %d, want not-run with 504", got, response.StatusCode)
	}
	f.admission.onCall = nil
	short := newFront(t, time.Millisecond)
	response = short.send(http.MethodPost, "/v1/services/s/o", "", transport.HeaderDeadline+": 1")
	if got := response.Header.Get(transport.HeaderVerdict); got != "may-have-run" {
		t.Errorf("verdict without an end is %q, want may-have-run", got)
	}
}

// Guards against a draining daemon that load balancers and callers keep using.
func TestReady(t *testing.T) {
	f := newFront(t, endGrace)
	if response := f.send(http.MethodGet, "/v1/ready", ""); response.StatusCode != http.StatusOK || response.Close {
		t.Errorf("ready daemon: status %d, close %v", response.StatusCode, response.Close)
	}
	f.admission.draining = true
	if response := f.send(http.MethodGet, "/v1/ready", ""); response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("draining daemon: status %d, close %v, want 503 and close", response.StatusCode, response.Close)
	}
}

// Guards against queries that show a state without its verdict, or models that
// the contract does not name.
func TestQueries(t *testing.T) {
	f := newFront(t, endGrace)
	f.admission.reply = caller.Reply{
		State:    caller.RequestState{Phase: "ended", Ended: true, Verdict: core.NotRun, Code: core.CodeDeadline},
		Contract: &core.Contract{Services: []core.Service{{Name: "s", Models: []core.Model{{Name: "m", Adapters: []string{"a"}}}}}},
	}
	var state RequestStateMessage
	f.read(f.send(http.MethodGet, "/v1/requests/r1", ""), &state)
	if state.ID != "r1" || state.State != "ended" || state.Verdict == nil || *state.Verdict != core.NotRun {
		t.Errorf("state is %+v, want ended and not run", state)
	}
	var models ModelList
	f.read(f.send(http.MethodGet, "/v1/models", ""), &models)
	if len(models.Data) != 1 || models.Data[0].ID != "m" || models.Data[0].OwnedBy != "s" {
		t.Errorf("models are %+v, want m of s", models)
	}
	f.admission.reply = caller.Reply{Err: core.MayHaveRunError(core.CodeNotFound, "unknown")}
	if response := f.send(http.MethodGet, "/v1/requests/r2", ""); response.StatusCode != http.StatusNotFound {
		t.Errorf("unknown request has status %d, want 404", response.StatusCode)
	}
}
