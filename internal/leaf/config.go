package leaf

import "time"

// Config sets the client's limits. The zero value of a field stands for its
// default.
type Config struct {
	// ConnectionsPerLeaf is the number of connections kept to each leaf;
	// 2 by default. A leaf has few connections, shared by all nodes.
	ConnectionsPerLeaf int
	// ConnectTimeout bounds one dial; 1 s by default.
	ConnectTimeout time.Duration
	// ConnectWait bounds the time that a call waits for a connection while a
	// dial is under way; 50 ms by default.
	ConnectWait time.Duration
	// RedialMinimum and RedialMaximum bound the pause between dials that
	// fail; 20 ms and 1 s by default. The pause doubles with each failure.
	RedialMinimum time.Duration
	RedialMaximum time.Duration
	// ReplyLimit bounds the body of a reply, in bytes; 16 MiB by default.
	ReplyLimit int64
	// PingAfter is the silence after which a connection is checked with a
	// ping, and PingTimeout how long the answer may take; 5 s and 2 s by
	// default.
	PingIdleTime time.Duration
	PingTimeout  time.Duration
	// Guard is asked directly before the first byte of a request's body goes
	// out; if it returns an error the request is not sent. By default nothing
	// is held back. It is called concurrently and must not block.
	Guard func() error
}

// The defaults of Config.
const (
	// DefaultConnectionsPerLeaf is a number of connections. Not measured: chosen so that a
	// leaf can be called while one connection is dialed again.
	DefaultConnectionsPerLeaf = 2
	// DefaultConnectTimeout bounds a dial. Not measured: chosen far above a round trip.
	DefaultConnectTimeout = time.Second
	// DefaultConnectWait bounds the wait of a call. Not measured: chosen so that a call
	// goes to another leaf while there is time.
	DefaultConnectWait = 50 * time.Millisecond
	// DefaultRedialMinimum and DefaultRedialMaximum bound the pause between dials. Not
	// measured: chosen so that a leaf that is back is called soon, and one that stays away
	// costs one dial a second.
	DefaultRedialMinimum = 20 * time.Millisecond
	DefaultRedialMaximum = time.Second
	// DefaultReplyLimit is in bytes. Not measured: chosen far above the replies of leaves.
	DefaultReplyLimit = 16 << 20
	// DefaultPingAfter and DefaultPingTimeout find a connection that is silent for good.
	// Not measured: chosen because calls end by their deadlines before.
	DefaultPingIdleTime = 5 * time.Second
	DefaultPingTimeout  = 2 * time.Second
)

// withDefaults returns the Config with a value in each field.
func (c Config) withDefaults() Config {
	setDefault(&c.ConnectionsPerLeaf, DefaultConnectionsPerLeaf)
	setDefault(&c.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&c.ConnectWait, DefaultConnectWait)
	setDefault(&c.RedialMinimum, DefaultRedialMinimum)
	setDefault(&c.RedialMaximum, DefaultRedialMaximum)
	setDefault(&c.ReplyLimit, DefaultReplyLimit)
	setDefault(&c.PingIdleTime, DefaultPingIdleTime)
	setDefault(&c.PingTimeout, DefaultPingTimeout)
	if c.Guard == nil {
		c.Guard = func() error { return nil }
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
