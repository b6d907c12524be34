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

// eventTimeout bounds the wait for events that usually take milliseconds.
const eventTimeout = 30 * time.Second

// fakeAdmission replaces the admission duty.
type fakeAdmission struct {
	calls      *ring.Ring[*core.Call]
	answerCall func(*core.Call) // if set, answers each submitted call
	reply      caller.Reply
	draining   bool
}

func (f *fakeAdmission) Submit(c *core.Call) bool {
	if f.answerCall != nil {
		f.answerCall(c)
	}
	return f.calls.TryPut(c)
}

func (f *fakeAdmission) Query(context.Context, caller.Query) caller.Reply { return f.reply }
func (f *fakeAdmission) IsReady() bool                                    { return !f.draining }
func (f *fakeAdmission) IsDraining() bool                                 { return f.draining }

type testServer struct {
	t         *testing.T
	ctx       context.Context
	admission *fakeAdmission
	handler   *Handler
	base      string
}

func newTestServer(t *testing.T, grace time.Duration) *testServer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	s := &testServer{t: t, ctx: ctx, admission: &fakeAdmission{calls: ring.New[*core.Call]("calls", 16)}}
	runner, err := duty.NewRunner(2)
	s.check(err)
	listener, err := transport.Listen("127.0.0.1:0", transport.ServerOptions{})
	s.check(err)
	s.handler = NewHandler(s.admission)
	s.handler.endGrace = grace
	s.handler.Register(listener.Router())
	s.check(runner.Serve("front", listener.Serve, listener.Shutdown))
	s.base = "http://" + listener.Address()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		runner.Stop(ctx)
		cancel()
	})
	return s
}

func (s *testServer) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// testResponse is an HTTP response whose body is closed at the end of the test.
type testResponse struct {
	StatusCode int
	Header     http.Header
	Close      bool
	Body       io.ReadCloser
}

// send sends a request with the customer header and the given headers, each
// "name: value", and returns the response.
func (s *testServer) send(method, path, body string, headers ...string) testResponse {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.ctx, method, s.base+path, strings.NewReader(body))
	s.check(err)
	r.Header.Set(transport.HeaderCustomer, "c")
	for _, header := range headers {
		if name, value, found := strings.Cut(header, ": "); found {
			r.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(r)
	s.check(err)
	s.t.Cleanup(func() { _ = response.Body.Close() })
	return testResponse{response.StatusCode, response.Header, response.Close, response.Body}
}

func (s *testServer) decode(response testResponse, v any) {
	s.t.Helper()
	s.check(json.NewDecoder(response.Body).Decode(v))
}

// Guards against accepting requests with invalid values, and against errors that
// do not name the field and its allowed values.
func TestChecks(t *testing.T) {
	f := newTestServer(t, endGrace)
	const good = `{"model":"m","prompt":"p","max_tokens":1}`
	with := func(field string) string { return strings.TrimSuffix(good, "}") + "," + field + "}" }
	cases := []struct{ path, body, header, field string }{
		{"completions", good, transport.HeaderCustomer + ": ", transport.HeaderCustomer},
		{"completions", good, transport.HeaderCustomer + ": a/b", transport.HeaderCustomer},
		{"completions", good, transport.HeaderDeadline + ": 0", transport.HeaderDeadline},
		{"completions", good, transport.HeaderDeadline + ": 99999999999999999999", transport.HeaderDeadline},
		{"completions", good, transport.HeaderClass + ": urgent", transport.HeaderClass},
		{"completions", good, transport.HeaderRequestID + ": a b", transport.HeaderRequestID},
		{"services/s/o", "x", transport.HeaderIdempotencyKey + ": " + strings.Repeat("k", maxNameBytes+1), transport.HeaderIdempotencyKey},
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
		f.decode(response, &body)
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
	f := newTestServer(t, endGrace)
	f.admission.answerCall = answerTwoChunks
	const body = `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"a\nassistant: b"}],"stream":%v,"stream_options":{"include_usage":true}}`
	var whole CompletionResponse
	response := f.send(http.MethodPost, "/v1/chat/completions", fmt.Sprintf(body, false))
	f.decode(response, &whole)
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

// Guards against sampling parameters that are rejected, lost or missing from the
// fingerprint, and against rejecting fields that are accepted without effect.
func TestSampling(t *testing.T) {
	f := newTestServer(t, endGrace)
	f.admission.answerCall = answerTwoChunks
	fieldsByFingerprint := map[uint64]string{}
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
		f.decode(response, &whole)
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
		if other, found := fieldsByFingerprint[call.Request.Fingerprint]; found {
			t.Errorf("%s has the fingerprint of %s", c.fields, other)
		}
		fieldsByFingerprint[call.Request.Fingerprint] = c.fields
	}
}

// Guards against an attempt that continues after its caller has closed the
// connection, or has stopped reading from it.
func TestStreamOfLostCallerIsCancelled(t *testing.T) {
	t.Run("closed", func(t *testing.T) { testStreamIsCancelled(t, true) })
	t.Run("not reading", func(t *testing.T) { testStreamIsCancelled(t, false) })
}

func testStreamIsCancelled(t *testing.T, closed bool) {
	f := newTestServer(t, endGrace)
	if !closed {
		f.handler.completionFormat.writeTimeout = 2 * time.Second
	}
	text := strings.Repeat("x", 64<<10)
	f.admission.answerCall = func(c *core.Call) {
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
		t.Error("the call's context is not cancelled after the caller stopped reading")
	}
}

// Guards against a write timeout that is measured from the start of a stream and
// truncates every long one.
func TestStreamLongerThanWriteTimeout(t *testing.T) {
	f := newTestServer(t, endGrace)
	f.handler.completionFormat.writeTimeout = time.Second
	clock := duty.SystemClock{}
	f.admission.answerCall = func(c *core.Call) {
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

// Guards against the verdict "may have run" for a call whose deadline passed in a
// queue: the handler must wait until the duty ends the call.
func TestDeadlineIsDecidedByTheDuty(t *testing.T) {
	f := newTestServer(t, eventTimeout)
	f.admission.answerCall = func(c *core.Call) {
		context.AfterFunc(c.Context, func() { c.Fail(core.NotRunError(core.CodeDeadline, "passed in the queue")) })
	}
	response := f.send(http.MethodPost, "/v1/services/s/o", "", transport.HeaderDeadline+": 1")
	if got := response.Header.Get(transport.HeaderVerdict); got != "not-run" || response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("verdict %q with status %d, want not-run with 504", got, response.StatusCode)
	}
	f.admission.answerCall = nil
	short := newTestServer(t, time.Millisecond)
	response = short.send(http.MethodPost, "/v1/services/s/o", "", transport.HeaderDeadline+": 1")
	if got := response.Header.Get(transport.HeaderVerdict); got != "may-have-run" {
		t.Errorf("verdict without an end is %q, want may-have-run", got)
	}
}

// Guards against load balancers and callers that keep using a draining daemon.
func TestReady(t *testing.T) {
	f := newTestServer(t, endGrace)
	if response := f.send(http.MethodGet, "/v1/ready", ""); response.StatusCode != http.StatusOK || response.Close {
		t.Errorf("ready daemon: status %d, close %v", response.StatusCode, response.Close)
	}
	f.admission.draining = true
	if response := f.send(http.MethodGet, "/v1/ready", ""); response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("draining daemon: status %d, close %v, want 503 and close", response.StatusCode, response.Close)
	}
}

// Guards against a request state without its verdict, and against models that
// the contract does not name.
func TestQueries(t *testing.T) {
	f := newTestServer(t, endGrace)
	f.admission.reply = caller.Reply{
		State:    caller.RequestState{Phase: "ended", Ended: true, Verdict: core.NotRun, Code: core.CodeDeadline},
		Contract: &core.Contract{Services: []core.Service{{Name: "s", Models: []core.Model{{Name: "m", Adapters: []string{"a"}}}}}},
	}
	var state RequestStateMessage
	f.decode(f.send(http.MethodGet, "/v1/requests/r1", ""), &state)
	if state.ID != "r1" || state.State != "ended" || state.Verdict == nil || *state.Verdict != core.NotRun {
		t.Errorf("state is %+v, want ended and not run", state)
	}
	var models ModelList
	f.decode(f.send(http.MethodGet, "/v1/models", ""), &models)
	if len(models.Data) != 1 || models.Data[0].ID != "m" || models.Data[0].OwnedBy != "s" {
		t.Errorf("models are %+v, want m of s", models)
	}
	f.admission.reply = caller.Reply{Err: core.MayHaveRunError(core.CodeNotFound, "unknown")}
	if response := f.send(http.MethodGet, "/v1/requests/r2", ""); response.StatusCode != http.StatusNotFound {
		t.Errorf("unknown request has status %d, want 404", response.StatusCode)
	}
}

// Guards against a form that is parsed on its way to the plain service and passed on in
// another form, or rejected because it cannot be parsed.
func TestOperationBodyIsPassedOnUnchanged(t *testing.T) {
	f := newTestServer(t, eventTimeout)
	f.admission.answerCall = func(c *core.Call) { c.End(core.End{Verdict: core.Ran, Status: http.StatusOK}) }
	file := "--cut\r\nContent-Disposition: form-data; name=\"p\"; filename=\"s.jpg\"\r\nX-Shop: 7\r\n\r\nJPEG\r\n"
	field := "--cut\r\nContent-Disposition: form-data; name=\"n\"\r\n\r\nworn\r\n"
	for _, body := range []string{file + field + "--cut--\r\n", file, "no form", "a=%zz&&b"} {
		for _, kind := range []string{"multipart/form-data; boundary=cut", "application/x-www-form-urlencoded"} {
			response := f.send(http.MethodPost, "/v1/services/s/o", body, "Content-Type: "+kind)
			call, ok := f.admission.calls.TryTake()
			if !ok || string(call.Request.Body) != body {
				t.Errorf("body %q of type %s: status %d, passed on: %v", body, kind, response.StatusCode, ok)
			}
		}
	}
}
