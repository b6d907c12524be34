package callerhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// Limits of requests.
const (
	// DefaultDeadline applies to requests without a deadline header.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline is far below caller.ClaimRetention, so that no call outlasts
	// its claim.
	MaxDeadline = time.Hour
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 4 << 20
	// MaxTokens bounds max_tokens of a model call.
	MaxTokens = 1 << 20
	// MaxMessages bounds the messages of a chat.
	MaxMessages = 4096
	// maxNameBytes bounds names and keys in headers and paths. A claim contains
	// the key, so the limit also keeps claims small.
	maxNameBytes = 256
	maxPriority  = 10 // in both directions
)

func newRequest(c *app.RequestContext) (*core.Request, *core.Error) {
	customer, failure := nameHeader(c, transport.HeaderCustomer)
	if failure != nil {
		return nil, failure
	}
	if customer == "" {
		return nil, core.InvalidError(transport.HeaderCustomer, "", "the customer's name", "is required")
	}
	key, failure := nameHeader(c, transport.HeaderIdempotencyKey)
	if failure != nil {
		return nil, failure
	}
	id, failure := nameHeader(c, transport.HeaderRequestID)
	if failure != nil {
		return nil, failure
	}
	if id == "" {
		id = uuid.NewString()
	}
	deadline, failure := deadlineHeader(c)
	if failure != nil {
		return nil, failure
	}
	class := core.Class(c.GetHeader(transport.HeaderClass))
	if class != "" && !slices.Contains(core.Classes(), class) {
		return nil, core.InvalidError(transport.HeaderClass, string(class), "interactive, background, rollout", "is not a valid class")
	}
	return &core.Request{
		ID:             core.RequestID(id),
		Customer:       core.CustomerID(customer),
		Class:          class,
		IdempotencyKey: key,
		Deadline:       time.Now().Add(deadline),
	}, nil
}

// nameHeader returns the value of a header. An absent header is valid, a
// malformed one is not.
func nameHeader(c *app.RequestContext, header string) (string, *core.Error) {
	value := string(c.GetHeader(header))
	return value, checkName(header, value)
}

func checkName(field, value string) *core.Error {
	const allowed = "up to 256 printable ASCII characters without spaces or slashes"
	if len(value) > maxNameBytes {
		return core.InvalidError(field, value[:maxNameBytes]+"...", allowed, "is too long")
	}
	invalid := func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }
	if strings.IndexFunc(value, invalid) >= 0 {
		return core.InvalidError(field, value, allowed, "contains an invalid character")
	}
	return nil
}

func deadlineHeader(c *app.RequestContext) (time.Duration, *core.Error) {
	text := string(c.GetHeader(transport.HeaderDeadline))
	if text == "" {
		return DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > MaxDeadline.Milliseconds() {
		allowed := fmt.Sprintf("1 to %d milliseconds", MaxDeadline.Milliseconds())
		return 0, core.InvalidError(transport.HeaderDeadline, text, allowed, "is not a valid duration")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// Field names of the bodies, as listed in errors.
const (
	sharedFields     = "model, adapter, max_tokens, stream, stream_options (include_usage), priority, temperature, top_p, seed, stop, frequency_penalty, presence_penalty, n, logprobs, user, metadata"
	completionFields = "prompt, " + sharedFields
	chatFields       = "messages (role, content), " + sharedFields
)

// modelBody is the body of a completion or chat.
type modelBody interface {
	// commonFields returns the fields that both kinds of body have.
	commonFields() modelFields
}

// modelFields are the decoded fields that completions and chats share.
type modelFields struct {
	model     string
	adapter   string
	maxTokens int
	stream    bool
	priority  int
	sampling  *SamplingFields
}

// newModelRequest decodes a model call into body. fieldNames lists the allowed
// fields for the error about an unknown one.
func newModelRequest(c *app.RequestContext, body modelBody, fieldNames string) (*core.Request, *core.Error) {
	request, failure := newRequest(c)
	if failure == nil {
		failure = readBody(c, body, fieldNames)
	}
	if failure != nil {
		return nil, failure
	}
	f := body.commonFields()
	if failure := checkModelCall(f.model, f.maxTokens, f.priority); failure != nil {
		return nil, failure
	}
	sampling, failure := newSampling(f.sampling)
	if failure != nil {
		return nil, failure
	}
	request.Model = f.model
	request.Adapter = f.adapter
	request.MaxTokens = f.maxTokens
	request.Priority = f.priority
	request.Stream = f.stream
	request.Sampling = sampling
	return request, nil
}

// readBody decodes the JSON body into v. It rejects unknown fields, because a
// caller that sends one expects an effect that it would not get.
func readBody(c *app.RequestContext, v any, fieldNames string) *core.Error {
	body := c.Request.Body()
	if failure := checkBodySize(body); failure != nil {
		return failure
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return bodyError(err, fieldNames)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return core.InvalidError("body", "", "one JSON object", "has data after the JSON object")
	}
	return nil
}

func checkBodySize(body []byte) *core.Error {
	if len(body) > MaxBodyBytes {
		return core.InvalidError("body", fmt.Sprintf("%d bytes", len(body)), fmt.Sprintf("up to %d bytes", MaxBodyBytes), "is too large")
	}
	return nil
}

func bodyError(err error, fieldNames string) *core.Error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return core.InvalidError(strings.TrimPrefix(wrongType.Field, "SamplingFields."), wrongType.Value, "a value of type "+wrongType.Type.String(), "has the wrong type")
	}
	if name, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		return core.InvalidError(strings.Trim(name, `"`), "", fieldNames, "is not a field of this request")
	}
	failure := core.InvalidError("body", "", "a JSON object", "is not valid JSON")
	failure.Err = err
	return failure
}

func checkModelCall(model string, maxTokens, priority int) *core.Error {
	if model == "" {
		return core.InvalidError("model", "", "a model that the contract names", "is required")
	}
	if maxTokens < 1 || maxTokens > MaxTokens {
		return core.InvalidError("max_tokens", strconv.Itoa(maxTokens), fmt.Sprintf("1 to %d", MaxTokens), "is out of range")
	}
	if priority < -maxPriority || priority > maxPriority {
		return core.InvalidError("priority", strconv.Itoa(priority), fmt.Sprintf("%d to %d", -maxPriority, maxPriority), "is out of range")
	}
	return nil
}

func checkMessages(messages []ChatMessage) *core.Error {
	if len(messages) < 1 || len(messages) > MaxMessages {
		return core.InvalidError("messages", strconv.Itoa(len(messages)), fmt.Sprintf("1 to %d messages", MaxMessages), "has an invalid number of messages")
	}
	for i, m := range messages {
		if !slices.Contains(roles, m.Role) {
			return core.InvalidError(fmt.Sprintf("messages[%d].role", i), m.Role, strings.Join(roles, ", "), "is not a valid role")
		}
	}
	return nil
}
