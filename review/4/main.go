// Command 4 sends queries to all shards of three zones, and freezes the machine through which the parts
// of one zone go for a moment. It checks that each answer holds the greatest records of the parts that
// it names.
package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/micaplank/micaplank/platform/platformtest"
	"github.com/micaplank/micaplank/review/rig2"
)

const (
	// nearWork is how long leaves of the near zone work on a request, and otherWork the others.
	nearWork    = 60 * time.Millisecond
	otherWork   = 5 * time.Millisecond
	leafSlots   = 8
	clientWaits = 2 * time.Second
	// The shards in the zone of the node that gets the queries, and in the two others.
	shardsNear, shardsMiddle, shardsFar = 8, 8, 4
	topK                                = 10
	minCoverage                         = 0.75
	recordSize                          = 16
	// rounds is how often a machine freezes, freezeAfter the time from a query to that, and freezeTime
	// how long it stands still.
	rounds      = 6
	freezeAfter = 30 * time.Millisecond
	freezeTime  = 2 * time.Second
	// plainCount and plainPause are the ordinary queries between two freezes.
	plainCount = 60
	plainPause = 50 * time.Millisecond

	plainPath = platformtest.SweepPath + "plain"
	rarePath  = platformtest.SweepPath + "rare"
)

var zones = []string{"a", "b", "c"}

func main() { rig2.Main("review/4", platformtest.NewDeployment(1), play) }

// deployment holds what the script starts.
type deployment struct {
	c      *rig2.Case
	shards []*shard
	byLeaf map[string]*shard
	client *platformtest.Client
	far    *rig2.Node
	sent   int
	wrong  int
}

func play(c *rig2.Case) error {
	d := &deployment{c: c, byLeaf: make(map[string]*shard)}
	if err := d.startLeaves(); err != nil {
		return err
	}
	d.configure()
	if err := d.startNodes(); err != nil {
		return err
	}
	for range rounds {
		for range plainCount {
			d.query(plainPath)
			time.Sleep(plainPause)
		}
		if err := d.queryDuringFreeze(); err != nil {
			return err
		}
	}
	c.Say("%d answers, %d wrong", d.sent, d.wrong)
	return nil
}

func (d *deployment) startLeaves() error {
	for zone, count := range []int{shardsNear, shardsMiddle, shardsFar} {
		for range count {
			number := len(d.shards)
			s := &shard{name: fmt.Sprintf("desk-%d", number), zone: zones[zone], work: otherWork, records: map[string][]byte{
				plainPath: plainRecords(number), rarePath: rareRecords(number),
			}}
			if zone == 0 {
				s.work = nearWork
			}
			d.shards = append(d.shards, s)
			for _, suffix := range []string{"x", "y"} {
				l, err := startLeaf(d.c, s, suffix)
				if err != nil {
					return err
				}
				l.announce(d.c.World.Store)
				d.byLeaf[l.id] = s
			}
		}
	}
	return nil
}

// configure names the shards in the route of queries.
func (d *deployment) configure() {
	var names []string
	for _, s := range d.shards {
		names = append(names, s.name)
	}
	d.c.World.Configure(func(routes []map[string]any) []map[string]any {
		routes[0]["fanout"], routes[0]["top_k"], routes[0]["min_version"] = names, topK, minCoverage
		routes[0]["timeout_ms"] = clientWaits.Milliseconds()
		return routes
	})
}

func (d *deployment) startNodes() error {
	for _, zone := range zones {
		spec := platformtest.NewNodeSpec()
		spec.Zone = zone
		node, err := d.c.StartNode(spec, nil)
		if err != nil {
			return err
		}
		if d.client == nil {
			d.client = platformtest.NewClient(spec.FrontAddress())
		}
		d.far = node
	}
	time.Sleep(2 * time.Second) // the nodes learn of each other
	return nil
}

// queryDuringFreeze sends a query whose records are lower than usual. While the leaves of the near
// zone work on it, the machine of the far zone freezes, and wakes again later.
func (d *deployment) queryDuringFreeze() error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.query(rarePath)
	}()
	time.Sleep(freezeAfter)
	if d.c.Trouble {
		if err := d.far.Command.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		d.c.Note("%s stands still", d.far.Spec.Name)
		time.Sleep(freezeTime)
		if err := d.far.Command.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		d.c.Note("%s wakes", d.far.Spec.Name)
	}
	<-done
	return nil
}

// query sends one query and checks its answer.
func (d *deployment) query(path string) {
	d.sent++
	id := fmt.Sprintf("q-%d", d.sent)
	d.c.Note("send %s %s", id, path)
	reply, err := d.client.Send(context.Background(), http.MethodGet, path, id, clientWaits, nil)
	d.c.Note("answer %s: status %d, error %v, missing %s, parts %v", id, reply.Status, err, reply.Header.Get("X-Parts-Missing"), reply.Signatures())
	if err != nil || reply.Status != http.StatusOK {
		return
	}
	if problem := d.check(path, id, reply); problem != "" {
		d.wrong++
		d.c.Break("MIXED: answer %s to %s: %s", id, path, problem)
	}
}

// check returns what is wrong with a success; empty if nothing is.
func (d *deployment) check(path, id string, reply platformtest.Reply) string {
	var parts [][]byte
	for _, part := range reply.Signatures() {
		s := d.byLeaf[strings.TrimSuffix(part, "."+id)]
		if s == nil {
			return fmt.Sprintf("part %q is no signature", part)
		}
		parts = append(parts, s.records[path])
	}
	missing, _ := strconv.Atoi(reply.Header.Get("X-Parts-Missing"))
	if len(parts)+missing != len(d.shards) {
		return fmt.Sprintf("%d parts and %d missing are not %d", len(parts), missing, len(d.shards))
	}
	if want := greatest(parts); !bytes.Equal(reply.Body, want) {
		return fmt.Sprintf("of the %d parts that it names, the greatest records are %v, and it holds %v", len(parts), scores(want), scores(reply.Body))
	}
	return ""
}

// greatest returns the greatest records of parts, falling.
func greatest(parts [][]byte) []byte {
	var all [][]byte
	for _, part := range parts {
		all = append(all, slices.Collect(slices.Chunk(part, recordSize))...)
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(topK, len(all))], nil)
}

// plainRecords returns the records of a shard for ordinary queries: their scores are spread evenly
// over the shards.
func plainRecords(number int) []byte {
	var part []byte
	for rank := range 20 {
		part = append(part, record(1000-20*rank-number, number)...)
	}
	return part
}

// rareRecords returns the records of a shard for a query that matches little: few records have high
// scores, most of them in the far zone.
func rareRecords(number int) []byte {
	high, base := 0, 560
	switch {
	case number >= shardsNear+shardsMiddle:
		high, base = 2, 620
	case number == shardsNear:
		high, base = 1, 610
	case number > shardsNear:
		base = 610
	}
	var part []byte
	if number == 0 {
		part = append(part, record(600, number)...)
	}
	for rank := range high {
		part = append(part, record(999-rank, number)...)
	}
	for rank := range 20 - high {
		part = append(part, record(base-rank-number, number)...)
	}
	return part
}

// record returns a record whose order is that of its score.
func record(score, number int) []byte {
	content := make([]byte, recordSize)
	binary.BigEndian.PutUint32(content, uint32(score))
	binary.BigEndian.PutUint32(content[4:], uint32(number))
	return content
}

func scores(body []byte) []uint32 {
	var list []uint32
	for part := range slices.Chunk(body, recordSize) {
		list = append(list, binary.BigEndian.Uint32(part))
	}
	return list
}
