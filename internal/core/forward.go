package core

// OperationForward names the forwarding of a message to a plain service.
const OperationForward = "forward"

// Header is one header line of a forwarded message.
type Header struct {
	Name, Value string
}

// ForwardedMessage is a caller's message that is sent to a backend server unchanged.
type ForwardedMessage struct {
	ID      string // identifies the caller's attempt to the backend server
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Headers []Header // end-to-end headers only, without hop-by-hop headers
}
