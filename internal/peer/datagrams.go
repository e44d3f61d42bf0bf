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

// Kind is the first byte of a datagram; it names the handler.
type Kind byte

// The kinds of datagrams.
const (
	KindMembership Kind = 1
	KindExchange   Kind = 2
	KindTopology   Kind = 3
)

// String returns the name used in metrics.
func (k Kind) String() string {
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

// Limits of datagrams, in bytes of payload. A payload of up to
// UnfragmentedDatagram bytes fits into one Ethernet frame; a larger one is
// split by IP, and is lost if any part is.
const (
	MaxDatagramSize      = 8 << 10
	UnfragmentedDatagram = 1400
)

// DatagramHandler takes a datagram. It runs on the socket's only reading
// goroutine and must not block. The payload is the handler's to keep.
type DatagramHandler func(from netip.AddrPort, payload []byte)

// Datagrams is one UDP socket that is shared by several protocols.
type Datagrams struct {
	socket   *net.UDPConn
	metrics  *datagramMetrics
	handlers [256]atomic.Pointer[DatagramHandler]
	closed   atomic.Bool
	reader   sync.WaitGroup
}

// listenDatagrams opens a UDP socket at address (port 0 picks a free one) and
// starts to read from it.
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

// Address returns the local address, with the port that was picked.
func (d *Datagrams) Address() netip.AddrPort {
	return localAddress(d.socket.LocalAddr())
}

// Handle sets the handler of a kind; nil removes it.
func (d *Datagrams) Handle(kind Kind, handler DatagramHandler) {
	if handler == nil {
		d.handlers[kind].Store(nil)
		return
	}
	d.handlers[kind].Store(&handler)
}

// Send writes one datagram. It may be lost, duplicated or reordered without
// an error. The payload may be reused after Send returns.
func (d *Datagrams) Send(kind Kind, to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxDatagramSize {
		d.metrics.dropped.WithLabelValues("too_large").Inc()
		return sendError(to, fmt.Errorf("%w: %d bytes of %s, at most %d", ErrTooLarge, len(payload), kind, MaxDatagramSize))
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

// Close closes the socket and waits until the running handler has returned.
// It must not be called from a handler.
func (d *Datagrams) Close() error {
	if d.closed.Swap(true) {
		return nil
	}
	err := d.socket.Close()
	d.reader.Wait()
	return err
}

func (d *Datagrams) read() {
	defer d.reader.Done()
	buffer := make([]byte, MaxDatagramSize+2)
	for {
		size, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A refused earlier datagram is reported here by some systems.
			d.metrics.dropped.WithLabelValues("read_failed").Inc()
			continue
		}
		d.deliver(unmapAddress(from), buffer[:size])
	}
}

func (d *Datagrams) deliver(from netip.AddrPort, packet []byte) {
	if len(packet) == 0 || len(packet) > MaxDatagramSize+1 {
		d.metrics.dropped.WithLabelValues("bad_size").Inc()
		return
	}
	kind := Kind(packet[0])
	handler := d.handlers[kind].Load()
	if handler == nil {
		d.metrics.dropped.WithLabelValues("no_handler").Inc()
		return
	}
	payload := append([]byte(nil), packet[1:]...)
	d.count(kind, "received", len(payload))
	(*handler)(from, payload)
}

func (d *Datagrams) count(kind Kind, direction string, size int) {
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

// unmap turns an IPv4 address in IPv6 form into its plain form, so that
// addresses compare equal.
func unmapAddress(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
