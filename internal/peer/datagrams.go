package peer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
)

// DatagramKind is the first byte of a datagram. It selects the handler.
type DatagramKind byte

// The kinds of datagrams.
const (
	KindMembership DatagramKind = 1
	KindExchange   DatagramKind = 2
	KindTopology   DatagramKind = 3
)

// String returns the value of the label "kind" in metrics.
func (k DatagramKind) String() string {
	switch k {
	case KindMembership:
		return "membership"
	case KindExchange:
		return "exchange"
	case KindTopology:
		return "topology"
	}
	return fmt.Sprintf("kind_%d", byte(k))
}

const (
	// MaxDatagramSize is the maximum payload of a datagram in bytes.
	MaxDatagramSize = 8 << 10
	// MaxUnfragmentedDatagramSize is the maximum payload in bytes that fits into one Ethernet
	// frame. IP splits a larger datagram into fragments, and the datagram is lost if any fragment
	// is.
	MaxUnfragmentedDatagramSize = 1400
)

// DatagramHandler handles a datagram. It runs on the only reading goroutine of the socket and must
// not block. It may retain the payload.
type DatagramHandler func(from netip.AddrPort, payload []byte)

// Datagrams is a UDP socket that several protocols share.
type Datagrams struct {
	socket   *net.UDPConn
	metrics  *datagramMetrics
	handlers [256]atomic.Pointer[DatagramHandler]
	closed   atomic.Bool
	reader   sync.WaitGroup
}

// listenDatagrams opens a UDP socket at address and starts to read from it. With port 0 the system
// selects a free port.
func listenDatagrams(address netip.AddrPort, metrics *datagramMetrics) (*Datagrams, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.In("peer").With("step", "listen").With("peer", address.String()).Wrap(err)
	}
	d := &Datagrams{socket: socket, metrics: metrics}
	d.reader.Add(1)
	go d.read()
	return d, nil
}

// Address returns the local address with the actual port.
func (d *Datagrams) Address() netip.AddrPort {
	return localAddress(d.socket.LocalAddr())
}

// Handle sets the handler of a kind. A nil handler removes it.
func (d *Datagrams) Handle(kind DatagramKind, handler DatagramHandler) {
	if handler == nil {
		d.handlers[kind].Store(nil)
		return
	}
	d.handlers[kind].Store(&handler)
}

// Send writes one datagram. The network may lose, duplicate or reorder it without an error. The
// payload may be reused after Send returns.
func (d *Datagrams) Send(kind DatagramKind, to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxDatagramSize {
		d.metrics.dropped.WithLabelValues("too_large").Inc()
		return sendError(to, fmt.Errorf("%w: %d bytes of %s, limit %d", ErrTooLarge, len(payload), kind, MaxDatagramSize))
	}
	packet := make([]byte, 0, len(payload)+1)
	packet = append(packet, byte(kind))
	packet = append(packet, payload...)
	if _, err := d.socket.WriteToUDPAddrPort(packet, to); err != nil {
		d.metrics.dropped.WithLabelValues("write_failed").Inc()
		return sendError(to, err)
	}
	d.count(kind, "sent", len(payload))
	return nil
}

// Close closes the socket and waits until the running handler has returned. It must not be called
// from a handler.
func (d *Datagrams) Close() error {
	if d.closed.Swap(true) {
		return nil
	}
	err := d.socket.Close()
	d.reader.Wait()
	return err
}

// read delivers datagrams until the socket is closed.
func (d *Datagrams) read() {
	defer d.reader.Done()
	buffer := make([]byte, MaxDatagramSize+2)
	for {
		size, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Some systems report here that an earlier datagram was refused.
			d.metrics.dropped.WithLabelValues("read_failed").Inc()
			continue
		}
		d.deliver(unmapAddress(from), buffer[:size])
	}
}

// deliver passes a datagram to the handler of its kind.
func (d *Datagrams) deliver(from netip.AddrPort, packet []byte) {
	if len(packet) == 0 || len(packet) > MaxDatagramSize+1 {
		d.metrics.dropped.WithLabelValues("bad_size").Inc()
		return
	}
	kind := DatagramKind(packet[0])
	handler := d.handlers[kind].Load()
	if handler == nil {
		d.metrics.dropped.WithLabelValues("no_handler").Inc()
		return
	}
	payload := append([]byte(nil), packet[1:]...)
	d.count(kind, "received", len(payload))
	(*handler)(from, payload)
}

func (d *Datagrams) count(kind DatagramKind, direction string, size int) {
	d.metrics.datagrams.WithLabelValues(kind.String(), direction).Inc()
	d.metrics.bytes.WithLabelValues(kind.String(), direction).Add(float64(size))
}

func sendError(to netip.AddrPort, err error) error {
	return oops.In("peer").With("step", "send").With("peer", to.String()).Wrap(err)
}

func localAddress(address net.Addr) netip.AddrPort {
	parsed, _ := netip.ParseAddrPort(address.String())
	return unmapAddress(parsed)
}

// unmapAddress converts an IPv4-mapped IPv6 address to IPv4, so that equal addresses compare equal.
func unmapAddress(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
