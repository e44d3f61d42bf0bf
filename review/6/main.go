// Command 6 plays the roll-out of a good and then of a bad version of a service. With the
// disruption, the store is restored from a copy of a few seconds before the first order, and the
// operator and the leaves write again what they wrote.
package main

import (
	"encoding/json"
	"time"

	"github.com/micaplank/micaplank/platform/platformtest"
	"github.com/micaplank/micaplank/review/rig2"
)

const (
	nodeCount = 3
	leafWork  = 10 * time.Millisecond
	loadPause = 40 * time.Millisecond // between two requests to one node
	// heartbeat is the time between two writes of a leaf, and coldTime how long it is cold.
	heartbeat = 1200 * time.Millisecond
	coldTime  = 3 * heartbeat
	// stormPause and stormVersions describe configurations in quick succession.
	stormPause    = 330 * time.Millisecond
	stormVersions = 12
	// storeAway is how long the store is away, restoreAfter the time from the first order to that.
	storeAway    = 500 * time.Millisecond
	restoreAfter = 1500 * time.Millisecond
	// firstDuration and secondDuration are the times from the orders to their deadlines.
	firstDuration  = 12 * time.Second
	secondDuration = 20 * time.Second
	// contactTime is the time without disruption after which all nodes are in touch.
	contactTime = 5 * time.Second
	// rollbackTime is the time after the 50th bad answer from which a bad version gets nothing.
	rollbackTime = 5 * time.Second
	badAnswers   = 50
)

func main() { rig2.Main("review/6", platformtest.NewDeployment(2), play) }

func play(c *rig2.Case) error {
	for _, leaf := range c.World.Vault {
		leaf.SetFixedBehaviour(leafWork, platformtest.FaultNone)
	}
	load := &rig2.Load{Case: c, Once: true, Pause: loadPause, Target: func(int) string { return platformtest.FilePath + "x" }}
	for range nodeCount {
		node, err := c.StartNode(platformtest.NewNodeSpec(), nil)
		if err != nil {
			return err
		}
		load.Add(node)
	}
	load.Start()
	time.Sleep(time.Second)
	second := playFirstOrder(c)
	if state := c.World.Store.RolloutStatus(platformtest.LookupService).State; state == "completed" {
		stopLeaves(c, c.World.Vault)
	}
	third := newVersion("v3")
	ordered := time.Now()
	third.turnBad(ordered.Add(secondDuration / 2))
	c.Note("the operator orders v3, which turns bad later")
	c.World.Store.OrderRollout(platformtest.LookupService, "v3", secondDuration)
	go third.beat(c)
	time.Sleep(secondDuration)
	c.Say("v3 at its deadline: %+v", c.World.Store.RolloutStatus(platformtest.LookupService))
	load.Stop()
	judge(c, ordered, third, c.World.Vault, second.leaves)
	return nil
}

// playFirstOrder plays the roll-out of v2, a good version, until contactTime after its deadline.
func playFirstOrder(c *rig2.Case) *version {
	store := c.World.Store
	backup := store.Backup()
	c.Note("the copy of the store is made")
	for range stormVersions {
		c.World.Configure(nil)
		time.Sleep(stormPause)
	}
	order := func() { store.OrderRollout(platformtest.LookupService, "v2", firstDuration) }
	order()
	c.Note("the operator orders v2")
	second := newVersion("v2")
	go second.beat(c)
	time.Sleep(restoreAfter)
	if c.Trouble {
		store.SetOutage(platformtest.OutageReset)
		time.Sleep(storeAway)
		store.Restore(backup)
		store.SetOutage(platformtest.OutageNone)
		c.Note("the store is back from the copy")
		c.World.Version -= 3 // the newest version, with the same content
		c.World.Configure(nil)
		order()
		c.Note("the operator has written the newest configuration and the order again")
	}
	time.Sleep(firstDuration + contactTime)
	c.Say("v2 after its deadline: %+v", store.RolloutStatus(platformtest.LookupService))
	return second
}

// judge checks the rule EXPOSURE on the second order.
func judge(c *rig2.Case, ordered time.Time, third *version, others ...[]*platformtest.Leaf) {
	deadline := ordered.Add(secondDuration)
	atBad := countRuns(ordered, deadline, third.leaves)
	all := atBad + countRuns(ordered, deadline, others...)
	bound := platformtest.ExposureRatio*float64(all) + platformtest.ExposureSlack
	c.Say("between order and deadline: %d requests at the service, %d at v3, %.0f are allowed", all, atBad, bound)
	if float64(atBad) > bound {
		c.Break("EXPOSURE: %d requests at the bad version, %.0f are allowed", atBad, bound)
	}
	if at := third.lastAllowedAt(); !at.IsZero() {
		late := countRuns(at, deadline, third.leaves)
		c.Say("%d bad answers; %d requests at v3 later than %v after the %dth", third.badCount(), late, rollbackTime, badAnswers)
		if late > 0 {
			c.Break("EXPOSURE: %d requests later than %v after the %dth bad answer", late, rollbackTime, badAnswers)
		}
	}
	for _, leaves := range append(others, third.leaves) {
		for _, leaf := range leaves {
			for _, arrival := range leaf.Arrivals() {
				c.Note("arrival %s at %s (%s), %s: ran %v", arrival.ID, leaf.ID, leaf.Version, arrival.At.Format("15:04:05.000"), arrival.Executed)
			}
		}
	}
}

func stopLeaves(c *rig2.Case, leaves []*platformtest.Leaf) {
	for _, leaf := range leaves {
		c.World.Store.Remove("servers/" + leaf.ID)
		leaf.Close()
	}
	c.Note("the leaves of v1 are stopped")
}

// countRuns counts the requests that leaves began to run within a time.
func countRuns(from, to time.Time, groups ...[]*platformtest.Leaf) int {
	count := 0
	for _, leaves := range groups {
		for _, leaf := range leaves {
			for _, arrival := range leaf.Arrivals() {
				if arrival.Executed && !arrival.At.Before(from) && arrival.At.Before(to) {
					count++
				}
			}
		}
	}
	return count
}

// writeChanged writes the entry of a leaf if it differs from what the store holds.
func writeChanged(store *platformtest.Store, leaf *platformtest.Leaf, coldLeft time.Duration) {
	entry := leaf.StoreEntry("ready")
	entry["cold_left_ms"] = max(coldLeft, 0).Milliseconds()
	content, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	key := "servers/" + leaf.ID
	if store.Value(key) != string(content) {
		store.PutBytes(key, content)
	}
}
