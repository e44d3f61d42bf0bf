package membership

import (
	"net/netip"
	"time"
)

// syncing is the state of the exchange of digests.
type syncState struct {
	nextSync     time.Duration
	nextSeedSync time.Duration
	// count is the number of exchanges with random members so far.
	syncCount int
	// seed counts the exchanges with seeds, which take turns.
	seedIndex          int
	nextReconnect time.Duration
	// rounds is how many more digests may follow in the exchange that runs.
	roundsLeft int
	// receiving is set while the answer to a digest is processed.
	mergingRecords bool
	// replies is how many digests were answered since repliesSince.
	replyCount      int
	replyWindowStart time.Duration
}

// maximumRounds bounds how many digests one exchange may take.
// Not measured: chosen because it ends an exchange of two nodes that never agree.
const maximumSyncRounds = 128

// hurriedSyncs is how many exchanges of a new node come sooner than the
// others, each after twice the time of the one before.
const startupSyncs = 4

// joinInterval is the time between attempts to join.
// Not measured: chosen because it is the default of Config.ProbeInterval.
const joinInterval = time.Second

// tickSync begins exchanges: with a seed until this node has joined and now
// and then after that, with a random member, and with one that is gone.
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

// seedSharers is how many nodes together make an exchange with a seed in each
// Config.SeedInterval; among more nodes each does it more rarely, so that the
// load of the seeds does not grow with their number.
const nodesPerSeedSync = 16

// seedInterval is the time until this node's next exchange with a seed.
func (c *Core) seedInterval() time.Duration {
	if c.isIsolated() {
		return joinInterval
	}
	sharers := max(1, c.memberCount()/nodesPerSeedSync)
	interval := c.config.SeedInterval * time.Duration(sharers)
	return interval/2 + c.randomFraction(interval)
}

// syncWithSeed begins an exchange with the next seed, or with the next two if
// this node is alone.
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

// alone reports whether this node knows of nobody else that may be up.
func (c *Core) isIsolated() bool { return !c.Joined() || len(c.view.live) == 0 }

// reconnect tries a member that is gone, with such a chance that all nodes
// together try each about once an interval.
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

// digestPacket asks for differences; it brings this node's own full record.
func (c *Core) digestPacket() Packet {
	d := c.view.digest
	d.toggle(c.self.Name, c.self.fingerprint())
	return Packet{
		Kind:    PacketDigest,
		Digest:  d.encode(c.memberCount()),
		Updates: []Update{fullUpdate(c.self)},
	}
}

// stepDigest answers with the records of buckets that differ, from a random
// one on, in a few packets.
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

// mayReply limits the digests that are answered in one second.
func (c *Core) allowReply() bool {
	s := &c.sync
	if c.now-s.replyWindowStart >= time.Second {
		s.replyCount, s.replyWindowStart = 0, c.now
	}
	s.replyCount++
	return s.replyCount <= c.config.SyncRepliesPerSecond
}

// recordsOf returns the records in the wanted buckets, in an order that begins
// at a random place.
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

// sendRecords sends as many records as the limit of packets allows.
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

// stepRecords goes on with the exchange if the answer was not complete. The
// next digest goes to any member, so that a seed need not serve all who join.
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
