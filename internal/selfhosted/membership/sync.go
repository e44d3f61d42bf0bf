package membership

import (
	"net/netip"
	"time"
)

// syncState holds the state of the digest exchanges.
type syncState struct {
	nextSync     time.Duration
	nextSeedSync time.Duration
	// syncCount is the number of exchanges with random members so far.
	syncCount int
	// seedIndex selects the seed of the next exchange in round-robin order.
	seedIndex     int
	nextReconnect time.Duration
	// roundsLeft is the number of further digests that the running exchange may send.
	roundsLeft int
	// mergingRecords is set while the answer to a digest is processed.
	mergingRecords bool
	// replyCount is the number of digests answered since replyWindowStart.
	replyCount       int
	replyWindowStart time.Duration
}

// maximumSyncRounds bounds the digests of one exchange. It ends an exchange between two nodes that
// never agree.
const maximumSyncRounds = 128

// startupSyncs is the number of exchanges of a new node at shorter intervals. Each interval is
// twice the one before.
const startupSyncs = 4

// joinInterval is the time between attempts to join. It equals the default of Config.ProbeInterval.
const joinInterval = time.Second

// tickSync starts digest exchanges: with a seed, often until this node has joined and rarely
// afterwards, with a random member, and with a member that is gone.
func (c *Core) tickSync() {
	s := &c.sync
	if c.now >= s.nextSeedSync {
		s.nextSeedSync = c.now + c.seedInterval()
		c.syncWithSeed()
	}
	if c.config.disabled.digestExchange {
		return
	}
	if c.now >= s.nextSync {
		interval := c.config.SyncInterval >> max(0, startupSyncs-s.syncCount)
		s.nextSync = c.now + interval/2 + c.randomFraction(interval)
		if p := pickRandom(c.random, c.view.live, func(*peer) bool { return true }); p != nil {
			s.syncCount++
			c.beginSync(p.Address)
		}
	}
	if c.now >= s.nextReconnect {
		s.nextReconnect = c.now + c.config.ReconnectInterval
		c.reconnect()
	}
}

// seedSyncsPerInterval is the number of exchanges with seeds that all nodes of a large cluster
// together perform per Config.SeedInterval. The interval of each node grows with the number of
// nodes, so that the load of the seeds does not.
const seedSyncsPerInterval = 16

// seedInterval returns the time until this node's next exchange with a seed.
func (c *Core) seedInterval() time.Duration {
	if c.isIsolated() {
		return joinInterval
	}
	intervalFactor := max(1, c.memberCount()/seedSyncsPerInterval)
	interval := c.config.SeedInterval * time.Duration(intervalFactor)
	return interval/2 + c.randomFraction(interval)
}

// syncWithSeed starts an exchange with the next seed, or with the next two if this node is
// isolated.
func (c *Core) syncWithSeed() {
	attempts := 1
	if c.isIsolated() {
		attempts = 2
	}
	for range min(attempts, len(c.seeds)) {
		c.beginSync(c.seeds[c.sync.seedIndex%len(c.seeds)])
		c.sync.seedIndex++
	}
}

// isIsolated reports whether this node has not joined or has no other member that is not gone.
func (c *Core) isIsolated() bool { return !c.Joined() || len(c.view.live) == 0 }

// reconnect sends a digest to a member that is gone. The probability is such that all nodes
// together try each such member about once per Config.ReconnectInterval.
func (c *Core) reconnect() {
	gone := len(c.view.gone)
	if gone == 0 || c.random.IntN(c.memberCount()) >= gone {
		return
	}
	c.sendToPeer(c.view.gone[c.random.IntN(gone)], c.digestPacket())
}

func (c *Core) beginSync(to netip.AddrPort) {
	c.statistics.Syncs++
	c.sync.roundsLeft = maximumSyncRounds
	c.send(to, c.digestPacket())
}

// digestPacket returns a packet with this node's digest and its full record.
func (c *Core) digestPacket() Packet {
	d := c.view.digest
	d.toggle(c.self.Name, c.self.fingerprint())
	return Packet{
		Kind:    PacketDigest,
		Digest:  d.encode(c.memberCount()),
		Updates: []Update{fullUpdate(c.self)},
	}
}

// stepDigest answers with the records of the buckets that differ.
func (c *Core) stepDigest(from netip.AddrPort, packet Packet) {
	d := c.view.digest
	d.toggle(c.self.Name, c.self.fingerprint())
	buckets, differ := d.differingBuckets(packet.Digest)
	if len(differ) == 0 || !c.allowReply() {
		return
	}
	wanted := make([]bool, buckets)
	for _, bucket := range differ {
		wanted[bucket] = true
	}
	c.sendRecords(from, c.bucketRecords(wanted, buckets))
}

// allowReply enforces Config.SyncRepliesPerSecond.
func (c *Core) allowReply() bool {
	s := &c.sync
	if c.now-s.replyWindowStart >= time.Second {
		s.replyCount, s.replyWindowStart = 0, c.now
	}
	s.replyCount++
	return s.replyCount <= c.config.SyncRepliesPerSecond
}

// bucketRecords returns the records in the wanted buckets. The order starts at a random record, so
// that repeated exchanges cover all of them even if one answer cannot hold them.
func (c *Core) bucketRecords(wanted []bool, buckets int) []Update {
	var records []Update
	if wanted[nameBucket(c.self.Name, buckets)] {
		records = append(records, fullUpdate(c.self))
	}
	for _, peers := range [][]*peer{c.view.live, c.view.gone} {
		for _, p := range peers {
			if wanted[p.bucket%buckets] {
				records = append(records, c.fullRecord(p))
			}
		}
	}
	start := c.random.IntN(len(records) + 1)
	return append(records[start:], records[:start]...)
}

// sendRecords sends as many records as fit into Config.SyncPackets packets.
func (c *Core) sendRecords(to netip.AddrPort, records []Update) {
	for i := range c.config.SyncPackets {
		if len(records) == 0 {
			return
		}
		packet := Packet{Kind: PacketRecords, From: shortUpdate(c.self)}
		available := c.config.PacketLimit - packet.maximumSize()
		count := 0
		for count < len(records) && records[count].maximumSize() <= available {
			available -= records[count].maximumSize()
			count++
		}
		packet.Updates, records = records[:count:count], records[count:]
		packet.More = len(records) > 0 && i == c.config.SyncPackets-1
		c.statistics.SyncRecords += uint64(count)
		c.send(to, packet)
	}
}

// stepRecords continues the exchange if the answer was incomplete. The next digest goes to a random
// member that is alive, so that the seeds do not serve all joining nodes alone.
func (c *Core) stepRecords(packet Packet) {
	s := &c.sync
	if !packet.More || s.roundsLeft == 0 {
		return
	}
	s.roundsLeft--
	if p := pickRandom(c.random, c.view.live, func(p *peer) bool { return p.State == StateAlive }); p != nil {
		c.send(p.Address, c.digestPacket())
	}
}
