package callerhttp

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Values of the field "object".
const (
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	objectModel      = "model"
	objectList       = "list"
)

// SamplingFields are the optional fields that completions and chats share.
type SamplingFields struct {
	Temperature      *float64       `json:"temperature,omitempty"`
	TopP             *float64       `json:"top_p,omitempty"`
	Seed             *int64         `json:"seed,omitempty"`
	Stop             any            `json:"stop,omitempty"` // a string or a list of strings
	FrequencyPenalty *float64       `json:"frequency_penalty,omitempty"`
	PresencePenalty  *float64       `json:"presence_penalty,omitempty"`
	N                *int           `json:"n,omitempty"`        // 1
	Logprobs         any            `json:"logprobs,omitempty"` // false
	StreamOptions    *StreamOptions `json:"stream_options,omitempty"`
	User             any            `json:"user,omitempty"`     // accepted without effect
	Metadata         any            `json:"metadata,omitempty"` // accepted without effect
}

// StreamOptions selects optional chunks of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"` // adds a last chunk with the token usage
}

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	SamplingFields
}

func (r *CompletionRequest) commonFields() modelFields {
	return modelFields{r.Model, r.Adapter, r.MaxTokens, r.Stream, r.Priority, &r.SamplingFields}
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string        `json:"model"`
	Adapter   string        `json:"adapter,omitempty"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
	Priority  int           `json:"priority,omitempty"`
	SamplingFields
}

func (r *ChatRequest) commonFields() modelFields {
	return modelFields{r.Model, r.Adapter, r.MaxTokens, r.Stream, r.Priority, &r.SamplingFields}
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// roles are the roles that checkMessages allows.
var roles = []string{"system", "user", "assistant", "tool"}

// chatPrompt joins the messages into a prompt. Each message is encoded as a JSON
// string after its role, so that no content can imitate the start of a message.
func chatPrompt(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		content, _ := json.Marshal(m.Content) // a string always encodes
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.Write(content)
		b.WriteByte('\n')
	}
	b.WriteString("assistant: ")
	return b.String()
}

// CompletionResponse is the body of an answer that is not streamed.
type CompletionResponse struct {
	ID           string             `json:"id"`
	Object       string             `json:"object"`
	Created      int64              `json:"created"` // Unix time in seconds
	Model        string             `json:"model"`
	Choices      []CompletionChoice `json:"choices"`
	Usage        CompletionUsage    `json:"usage"`
	VersionSpans []core.Span        `json:"version_spans"`
}

// CompletionChoice holds the text of a completion, or the message or message
// delta of a chat.
type CompletionChoice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// ChatDelta is the next part of a streamed chat message. Only the first one has
// a role.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// CompletionUsage counts the generated tokens. Engines do not report the number
// of prompt tokens.
type CompletionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// StreamChunk is the data of one server-sent event.
type StreamChunk struct {
	ID       string             `json:"id"`
	Object   string             `json:"object"`
	Created  int64              `json:"created"` // Unix time in seconds
	Model    string             `json:"model"`
	Position int                `json:"position"` // index of the chunk's first token in the answer
	Version  core.Version       `json:"weight_version,omitempty"`
	Choices  []CompletionChoice `json:"choices"`         // empty in the chunk with the usage
	Usage    *CompletionUsage   `json:"usage,omitempty"` // if include_usage is set
}

// EndEvent is the data of the event "end", which reports the verdict of a stream.
type EndEvent struct {
	Verdict core.Verdict `json:"verdict"`
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelItem `json:"data"`
}

// ModelItem is one model that the contract allows.
type ModelItem struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	OwnedBy  string   `json:"owned_by"` // the service
	Adapters []string `json:"adapters,omitempty"`
}

// RequestStateMessage is the answer to GET /v1/requests/{id}.
type RequestStateMessage struct {
	ID      string        `json:"id"`
	State   string        `json:"state"`
	Verdict *core.Verdict `json:"verdict,omitempty"` // set once the request has ended
	Code    core.Code     `json:"code,omitempty"`    // error code, if the request ended with an error
	Tokens  int           `json:"tokens"`            // tokens generated so far
}

// ReadyMessage is the answer to GET /v1/ready.
type ReadyMessage struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// answerFormat selects the encoding of an answer: completion or chat.
type answerFormat struct {
	object       string
	chunkObject  string
	isChat       bool
	writeTimeout time.Duration // of one write to the caller
	includeUsage bool          // adds a chunk with the token usage to a stream
}

var (
	completionFormat = answerFormat{object: objectCompletion, chunkObject: objectCompletion, writeTimeout: writeTimeout}
	chatFormat       = answerFormat{object: objectChat, chunkObject: objectChatChunk, isChat: true, writeTimeout: writeTimeout}
)

// withOptions returns the format with the request's options, which may be nil.
func (f answerFormat) withOptions(o *StreamOptions) answerFormat {
	f.includeUsage = o != nil && o.IncludeUsage
	return f
}

func (f answerFormat) wholeChoice(text, finishReason string) CompletionChoice {
	if f.isChat {
		return CompletionChoice{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: finishReason}
	}
	return CompletionChoice{Text: text, FinishReason: finishReason}
}

func (f answerFormat) deltaChoice(text, finishReason string, first bool) CompletionChoice {
	if !f.isChat {
		return CompletionChoice{Text: text, FinishReason: finishReason}
	}
	delta := &ChatDelta{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return CompletionChoice{Delta: delta, FinishReason: finishReason}
}
