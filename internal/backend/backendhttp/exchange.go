package backendhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// silenceTimeout ends a read that brings no byte.
const silenceTimeout = 5 * time.Second

// Client carries out attempts and probes over HTTP.
type Client struct {
	streaming *client.Client
	plain     *client.Client
}

var (
	_ backend.Exchanger = (*Client)(nil)
	_ backend.Prober    = (*Client)(nil)
)

// NewClient returns a client for backend servers.
func NewClient(o transport.ClientOptions) (*Client, error) {
	plain, err := transport.NewClient(o)
	if err != nil {
		return nil, err
	}
	o.Stream = true
	o.ReadTimeout = silenceTimeout
	streaming, err := transport.NewClient(o)
	if err != nil {
		return nil, err
	}
	return &Client{streaming: streaming, plain: plain}, nil
}

// Exchange carries out one attempt and blocks until it has ended.
func (c *Client) Exchange(a backend.Attempt) backend.AttemptEnd {
	started := time.Now()
	var end backend.AttemptEnd
	if a.Call.Request.IsModelCall() {
		end = c.complete(a)
	} else {
		end = c.operate(a)
	}
	end.Attempt = a
	end.Duration = time.Since(started)
	return end
}

// Describe asks a backend server what it can do.
func (c *Client) Describe(ctx context.Context, address string) (backend.Description, error) {
	var m ServerMessage
	err := transport.DoJSON(ctx, c.plain, get(ctx, address, PathServer), &m)
	if err != nil {
		return backend.Description{}, err
	}
	d := backend.Description{
		Kind:          m.Kind,
		Service:       m.Service,
		Incarnation:   m.Incarnation,
		Role:          backend.Role(m.Role),
		ContextTokens: m.ContextTokens,
		Operations:    m.Operations,
		ChecksFence:   m.ChecksFence,
		Slots:         m.Slots,
	}
	for _, model := range m.Models {
		d.Models = append(d.Models, backend.ModelDescription{
			Name:     model.Name,
			Version:  core.Version(model.Version),
			Adapters: model.Adapters,
		})
	}
	return d, nil
}

// Load asks a backend server for its load report.
func (c *Client) Load(ctx context.Context, address string) (backend.Load, error) {
	var m LoadMessage
	err := transport.DoJSON(ctx, c.plain, get(ctx, address, PathLoad), &m)
	return backend.Load{At: m.At, Running: m.Running, Waiting: m.Waiting, KVUsed: m.KVUsed}, err
}

func get(ctx context.Context, address, path string) transport.Exchange {
	x := transport.Exchange{Method: consts.MethodGet, URL: "http://" + address + path}
	if deadline, ok := ctx.Deadline(); ok {
		x.Timeout = time.Until(deadline)
	}
	return x
}

func (c *Client) complete(a backend.Attempt) backend.AttemptEnd {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	r := a.Call.Request
	err := transport.EncodeRequest(req, transport.Exchange{
		Method: consts.MethodPost,
		URL:    "http://" + a.Address + PathCompletions,
		Body: CompletionMessage{
			RequestID:    string(r.ID),
			Model:        r.Model,
			Adapter:      r.Adapter,
			Prompt:       r.Prompt,
			MaxTokens:    r.MaxTokens,
			Priority:     r.Class.Rank(),
			ResumeTokens: a.ResumeTokens,
		},
	})
	if err != nil {
		return failed(core.NotRunError(core.CodeInvalid, "request cannot be encoded: %v", err))
	}
	if err := c.streaming.Do(a.Context, req, resp); err != nil {
		return failed(classifySend(err))
	}
	if resp.StatusCode() >= consts.StatusBadRequest {
		return failed(classifyRefusal(transport.NewResponseError(resp)))
	}
	return readTokens(a, resp)
}

// readTokens copies the events into the answer until the last one.
func readTokens(a backend.Attempt, resp *protocol.Response) backend.AttemptEnd {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return failed(core.MayHaveRunError(core.CodeBroken, "answer is no event stream: %v", err))
	}
	defer func() { _ = reader.Close() }()
	var end backend.AttemptEnd
	finish := ""
	err = reader.ForEach(a.Context, func(e *sse.Event) error {
		var m TokenMessage
		if err := json.Unmarshal(e.Data, &m); err != nil {
			return err
		}
		chunk := core.Chunk{
			Attempt:  a.Number,
			Position: m.Position,
			Tokens:   m.Tokens,
			Text:     m.Text,
			Version:  core.Version(m.Version),
			Adapter:  m.Adapter,
		}
		if len(m.Tokens) > 0 && !a.Call.Answer.Offer(a.Context, chunk) {
			return errNotWanted
		}
		end.Tokens = append(end.Tokens, m.Tokens...)
		finish = m.FinishReason
		if finish != "" {
			return errLastEvent
		}
		return nil
	})
	if finish != "" {
		end.Verdict = core.Ran
		end.End = core.End{Verdict: core.Ran, FinishReason: finish, Server: a.Server}
		return end
	}
	end.Verdict = core.MayHaveRun
	end.Err = streamError(err)
	return end
}

var (
	errNotWanted = errors.New("the answer is no longer wanted")
	errLastEvent = errors.New("last event")
)

func streamError(err error) *core.Error {
	if errors.Is(err, errNotWanted) || errors.Is(err, context.Canceled) {
		return core.MayHaveRunError(core.CodeCancelled, "the caller went away")
	}
	if err == nil || errors.Is(err, io.EOF) {
		return core.MayHaveRunError(core.CodeBroken, "the stream ended before the answer was whole")
	}
	return core.MayHaveRunError(core.CodeBroken, "the stream broke: %v", err)
}

func (c *Client) operate(a backend.Attempt) backend.AttemptEnd {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	r := a.Call.Request
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + a.Address + PathOperations + r.Operation)
	req.Header.Set(transport.HeaderRequestID, string(r.ID))
	req.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
	if r.IdempotencyKey != "" {
		req.Header.Set(transport.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	req.SetBody(r.Body)
	if err := c.plain.DoDeadline(a.Context, req, resp, r.Deadline); err != nil {
		return failed(classifySend(err))
	}
	if resp.StatusCode() >= consts.StatusInternalServerError {
		return failed(classifyRefusal(transport.NewResponseError(resp)))
	}
	return backend.AttemptEnd{
		Verdict: core.Ran,
		End: core.End{
			Verdict:     core.Ran,
			Status:      resp.StatusCode(),
			ContentType: string(resp.Header.ContentType()),
			Body:        append([]byte{}, resp.Body()...),
			Server:      a.Server,
		},
	}
}

func failed(e *core.Error) backend.AttemptEnd {
	return backend.AttemptEnd{Verdict: e.Verdict, Err: e}
}

// classifySend gives the verdict of a request without an answer.
func classifySend(err error) *core.Error {
	if transport.IsDialError(err) {
		return core.NotRunError(core.CodeBroken, "no connection to the backend server: %v", err)
	}
	return core.MayHaveRunError(core.CodeBroken, "no answer from the backend server: %v", err)
}

// classifyRefusal gives the verdict of an error answer. Only the header proves
// that the server did not start the request.
func classifyRefusal(e *transport.ResponseError) *core.Error {
	if e.Headers[transport.HeaderRequestStarted] == "false" {
		return core.NotRunError(core.CodeOverloaded, "the backend server refused the request: %v", e)
	}
	return core.MayHaveRunError(core.CodeBroken, "the backend server failed: %v", e)
}
