package leaf

import "time"

// Config configures a Client. A field with its zero value takes its default.
type Config struct {
	// ConnectionsPerLeaf is the size of the connection pool of each leaf; 2 by default. The pools
	// are small because a leaf accepts few connections, which all nodes share.
	ConnectionsPerLeaf int
	// ConnectTimeout is the timeout of one dial; 1 s by default.
	ConnectTimeout time.Duration
	// ConnectWait is how long a call waits for a connection while dials are in progress; 50 ms by
	// default.
	ConnectWait time.Duration
	// RedialMinimum is the initial backoff after a failed dial; 20 ms by default. The backoff
	// doubles with each failure.
	RedialMinimum time.Duration
	// RedialMaximum is the upper bound of the backoff; 1 s by default.
	RedialMaximum time.Duration
	// ReplyLimit is the maximum size of a reply body in bytes; 16 MiB by default.
	ReplyLimit int64
	// PingIdleTime is how long nothing is received on a connection before the client sends a ping;
	// 5 s by default.
	PingIdleTime time.Duration
	// PingTimeout is how long the client waits for the reply to a ping before it closes the
	// connection; 2 s by default.
	PingTimeout time.Duration
	// Guard is called immediately before the first byte of a request body is sent. If it returns an
	// error, the request is not sent. By default every request is sent. Guard is called
	// concurrently and must not block.
	Guard func() error
}

// The defaults of Config.
const (
	// DefaultConnectionsPerLeaf allows calls to a leaf while one of its connections is redialed.
	DefaultConnectionsPerLeaf = 2
	// DefaultConnectTimeout is far longer than a round trip.
	DefaultConnectTimeout = time.Second
	// DefaultConnectWait is short, so that a call that finds no connection has time left to use
	// another leaf.
	DefaultConnectWait = 50 * time.Millisecond
	// DefaultRedialMinimum is short, so that a leaf that returns receives calls soon.
	DefaultRedialMinimum = 20 * time.Millisecond
	// DefaultRedialMaximum limits the cost of an unreachable leaf to one dial per second and
	// connection.
	DefaultRedialMaximum = time.Second
	// DefaultReplyLimit is far larger than the replies of leaves.
	DefaultReplyLimit = 16 << 20
	// DefaultPingIdleTime may be longer than the deadlines of calls, because calls on a dead
	// connection end by their deadlines before the ping detects it.
	DefaultPingIdleTime = 5 * time.Second
	// DefaultPingTimeout may be longer than the deadlines of calls, like DefaultPingIdleTime.
	DefaultPingTimeout = 2 * time.Second
)

// withDefaults returns a copy of the Config with zero values replaced by defaults.
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
