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

// SamplingFields are the fields of completions and chats that clients of model
// servers send beside the request itself.
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

// StreamOptions changes what a stream contains.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"` // a last chunk with the usage
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

func (r *CompletionRequest) common() modelFields {
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

func (r *ChatRequest) common() modelFields {
	return modelFields{r.Model, r.Adapter, r.MaxTokens, r.Stream, r.Priority, &r.SamplingFields}
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// roles are the allowed roles of messages.
var roles = []string{"system", "user", "assistant", "tool"}

// chatPrompt joins the messages to a prompt. Each message is a JSON string
// after its role, so that no content can be read as the start of a message.
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

// CompletionResponse is the answer to a completion or chat without stream.
type CompletionResponse struct {
	ID           string             `json:"id"`
	Object       string             `json:"object"`
	Created      int64              `json:"created"` // Unix time in seconds
	Model        string             `json:"model"`
	Choices      []CompletionChoice `json:"choices"`
	Usage        CompletionUsage    `json:"usage"`
	VersionSpans []core.Span        `json:"version_spans"`
}

// CompletionChoice is the text of a completion, the message of a chat, or a
// part of a chat's message.
type CompletionChoice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// ChatDelta is a part of a chat's message.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// CompletionUsage counts tokens. Engines do not report the tokens of the prompt.
type CompletionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// StreamChunk is the data of one server-sent event.
type StreamChunk struct {
	ID       string             `json:"id"`
	Object   string             `json:"object"`
	Created  int64              `json:"created"` // Unix time in seconds
	Model    string             `json:"model"`
	Position int                `json:"position"` // of the first token in the answer
	Version  core.Version       `json:"weight_version,omitempty"`
	Choices  []CompletionChoice `json:"choices"`         // empty in the chunk with the usage
	Usage    *CompletionUsage   `json:"usage,omitempty"` // if the caller asked for it
}

// EndEvent is the data of the event "end", which closes a stream and carries its verdict.
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
	Verdict *core.Verdict `json:"verdict,omitempty"` // once ended
	Code    core.Code     `json:"code,omitempty"`    // of the error, if it ended with one
	Tokens  int           `json:"tokens"`            // generated so far
}

// ReadyMessage is the answer to GET /v1/ready.
type ReadyMessage struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// style is the form of an answer: of completions or of chats.
type style struct {
	object      string
	chunkObject string
	chat        bool
	// writeTimeout bounds one write to the caller.
	writeTimeout time.Duration
	// includeUsage adds a chunk with the usage to a stream.
	includeUsage bool
}

var (
	completionStyle = style{object: objectCompletion, chunkObject: objectCompletion, writeTimeout: writeTimeout}
	chatStyle       = style{object: objectChat, chunkObject: objectChatChunk, chat: true, writeTimeout: writeTimeout}
)

// with returns the style with the caller's options, which may be nil.
func (s style) with(o *StreamOptions) style {
	s.includeUsage = o != nil && o.IncludeUsage
	return s
}

func (s style) choice(text, finishReason string) CompletionChoice {
	if s.chat {
		return CompletionChoice{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: finishReason}
	}
	return CompletionChoice{Text: text, FinishReason: finishReason}
}

func (s style) delta(text, finishReason string, first bool) CompletionChoice {
	if !s.chat {
		return CompletionChoice{Text: text, FinishReason: finishReason}
	}
	delta := &ChatDelta{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return CompletionChoice{Delta: delta, FinishReason: finishReason}
}
