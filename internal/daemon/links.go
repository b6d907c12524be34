package daemon

// LinkID names one connection to another daemon for its lifetime.
type LinkID uint64

// LinkEventKind is the kind of a LinkEvent.
type LinkEventKind int

// Kinds of link event.
const (
	LinkOpened          LinkEventKind = iota // a connection is set up, by either side
	LinkDialFailed                           // a dial failed; Address is set
	LinkClosed                               // the connection has ended
	LinkMessageReceived                      // Envelope has arrived
)

// LinkEvent is something that happened to a link.
type LinkEvent struct {
	Kind     LinkEventKind
	Link     LinkID
	Address  string // that was dialled; empty on a link that the other side opened
	Envelope Envelope
}

// Links are the connections to other daemons. No method waits; events come back
// through Peers.Deliver.
type Links interface {
	// Dial sets up a connection, which ends in LinkOpened or LinkFailed.
	Dial(address string)
	// Send queues the envelope and reports whether there was room for it.
	Send(link LinkID, e Envelope) bool
	// Close ends the connection.
	Close(link LinkID)
}

// PeerAddress is an address at which a daemon may listen.
type PeerAddress struct {
	Address    string
	DataCentre string // empty when not known
}
