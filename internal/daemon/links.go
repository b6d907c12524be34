package daemon

// LinkID names one connection to another daemon for its lifetime.
type LinkID uint64

// LinkEventKind is the kind of a LinkEvent.
type LinkEventKind int

// Kinds of link event.
const (
	LinkOpened          LinkEventKind = iota // either side has established a connection
	LinkDialFailed                           // a dial to Address has failed
	LinkClosed                               // the connection is closed
	LinkMessageReceived                      // Envelope was received
)

// LinkEvent is a change of a link's state or a message received on it.
type LinkEvent struct {
	Kind     LinkEventKind
	Link     LinkID
	Address  string // that was dialled; empty on a link that the peer opened
	Envelope Envelope
}

// Links are the connections to other daemons. No method blocks; results are
// reported as events through Peers.Deliver.
type Links interface {
	// Dial connects to the address. The result is reported as LinkOpened or
	// LinkDialFailed.
	Dial(address string)
	// Send queues the envelope and reports whether the queue had room for it.
	Send(link LinkID, e Envelope) bool
	// Close closes the connection without waiting for queued messages.
	Close(link LinkID)
}

// PeerAddress is an address at which a daemon may listen.
type PeerAddress struct {
	Address    string
	DataCentre string // empty when not known
}
