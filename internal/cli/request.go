package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

type requestCommand struct {
	outputOption
	Customer       string        `long:"customer" required:"yes" description:"customer that the request is for"`
	Model          string        `long:"model" description:"model, for a model call"`
	Adapter        string        `long:"adapter" description:"adapter of the model"`
	Prompt         string        `long:"prompt" description:"prompt, for a model call"`
	MaxTokens      int           `long:"max-tokens" default:"64" description:"most tokens of the answer, 1 or more"`
	Service        string        `long:"service" description:"plain service"`
	Operation      string        `long:"operation" description:"operation of the plain service"`
	Data           string        `long:"data" description:"body for the operation"`
	File           string        `short:"f" long:"file" value-name:"FILE" description:"file with the body for the operation"`
	IdempotencyKey string        `long:"key" description:"idempotency key; required for an operation that is not idempotent"`
	Class          string        `long:"class" choice:"interactive" choice:"background" choice:"rollout" description:"class of the request (default: the contract's)"`
	Deadline       time.Duration `long:"deadline" default:"30s" description:"time for the whole answer, 1ms to 1h"`
	session        *session
}

// requestResult is the output of the request command.
type requestResult struct {
	Request string       `json:"request"`
	Verdict core.Verdict `json:"verdict"`
	Status  int          `json:"status"`
	Answer  string       `json:"answer"`
	Spans   []core.Span  `json:"spans,omitempty"`
}

// Execute sends the request once. It does not retry, since only the caller knows
// whether a repetition is safe.
func (c *requestCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	path, body, err := c.encode()
	if err != nil {
		return err
	}
	result, err := c.send(path, body)
	if err != nil {
		return err
	}
	if err := c.print(result); err != nil {
		return err
	}
	if result.Status >= consts.StatusBadRequest {
		return &core.Error{
			Code: core.CodeBackendFailure, Verdict: result.Verdict,
			Reason: fmt.Sprintf("the service answered with status %d", result.Status),
		}
	}
	return nil
}

func (c *requestCommand) check() error {
	isModel, isOperation := c.Model != "", c.Service != "" || c.Operation != ""
	switch {
	case isModel == isOperation:
		return usageError("--model", c.Model, "either --model, or --service with --operation")
	case isOperation && (c.Service == "" || c.Operation == ""):
		return usageError("--operation", c.Operation, "--service together with --operation")
	case isModel && (c.Data != "" || c.File != ""):
		return usageError("--data", c.Data+c.File, "--prompt for a model call")
	case isOperation && (c.Prompt != "" || c.Adapter != ""):
		return usageError("--prompt", c.Prompt+c.Adapter, "--data for an operation")
	case c.Data != "" && c.File != "":
		return usageError("--file", c.File, "either --data or --file")
	case c.MaxTokens < 1:
		return usageError("--max-tokens", strconv.Itoa(c.MaxTokens), "1 or more")
	case c.Deadline < time.Millisecond || c.Deadline > time.Hour:
		return usageError("--deadline", c.Deadline.String(), "1ms to 1h")
	}
	return nil
}

func (c *requestCommand) encode() (path string, body []byte, err error) {
	if c.Model != "" {
		body, err = json.Marshal(callerhttp.CompletionRequest{Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, MaxTokens: c.MaxTokens})
		return "/v1/completions", body, err
	}
	body = []byte(c.Data)
	if c.File != "" {
		if body, err = c.session.app.ReadFile(c.File); err != nil {
			return "", nil, invalidFile("--file", c.File, err)
		}
	}
	return "/v1/services/" + url.PathEscape(c.Service) + "/" + url.PathEscape(c.Operation), body, nil
}

func (c *requestCommand) send(path string, body []byte) (requestResult, error) {
	s := c.session
	client, headers, err := s.client()
	if err != nil {
		return requestResult{}, err
	}
	defer client.CloseIdleConnections()
	x := transport.Exchange{Method: consts.MethodPost, URL: s.options.CallerAddress + path, Headers: headers}
	headers[transport.HeaderCustomer] = c.Customer
	headers[transport.HeaderDeadline] = strconv.FormatInt(c.Deadline.Milliseconds(), 10)
	if c.IdempotencyKey != "" {
		headers[transport.HeaderIdempotencyKey] = c.IdempotencyKey
	}
	if c.Class != "" {
		headers[transport.HeaderClass] = c.Class
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := transport.EncodeRequest(req, x); err != nil {
		return requestResult{}, err
	}
	req.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
	req.SetBody(body)
	// The daemon ends the request at its deadline and answers after that, so the
	// client has to wait longer than the deadline.
	ctx, cancel := context.WithTimeout(s.ctx, c.Deadline+s.options.Timeout)
	defer cancel()
	if err := client.DoTimeout(ctx, req, resp, c.Deadline+s.options.Timeout); err != nil {
		return requestResult{}, exchangeError(x, err)
	}
	return parseResult(x, resp)
}

// parseResult distinguishes a daemon's error from a plain service's answer by the
// verdict: an error of the daemon never has the verdict "ran".
func parseResult(x transport.Exchange, resp *protocol.Response) (requestResult, error) {
	result := requestResult{Request: resp.Header.Get(transport.HeaderRequestID), Status: resp.StatusCode(), Answer: string(resp.Body())}
	verdict, err := core.ParseVerdict(resp.Header.Get(transport.HeaderVerdict))
	result.Verdict = verdict
	if err != nil || verdict != core.Ran {
		failure := exchangeError(x, transport.NewResponseError(resp))
		if err != nil {
			return result, failure
		}
		if result.Request == "" {
			return result, fmt.Errorf("verdict %s: %w", verdict, failure)
		}
		return result, fmt.Errorf("request %s, verdict %s: %w", result.Request, verdict, failure)
	}
	var completion callerhttp.CompletionResponse
	if err := json.Unmarshal(resp.Body(), &completion); err == nil && completion.Object != "" && len(completion.Choices) == 1 {
		result.Answer = completion.Choices[0].Text
		result.Spans = completion.VersionSpans
	}
	return result, nil
}

func (c *requestCommand) print(r requestResult) error {
	if c.Output == "json" {
		return c.session.printJSON(r)
	}
	c.session.printf("request  %s\nverdict  %s\nstatus   %d\n", r.Request, r.Verdict, r.Status)
	for _, span := range r.Spans {
		adapter := ""
		if span.Adapter != "" {
			adapter = " with adapter " + span.Adapter
		}
		c.session.printf("span     tokens %d to %d: version %d%s\n", span.From, span.To, span.Version, adapter)
	}
	c.session.printf("answer   %s\n", r.Answer)
	return nil
}
