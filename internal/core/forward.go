package core

// OperationForward names the forwarding of a message to a plain service.
const OperationForward = "forward"

// Header is one header line of a forwarded message.
type Header struct {
	Name, Value string
}

// Forward is the message of a caller that goes to a backend server unchanged.
type Forward struct {
	ID      string // names the caller's attempt towards the backend server
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Headers []Header // those that do not concern one connection only
}
