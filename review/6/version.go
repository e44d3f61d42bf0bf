package main

import (
	"slices"
	"sync"
	"time"

	"github.com/micaplank/micaplank/platform/platformtest"
	"github.com/micaplank/micaplank/review/rig2"
)

// version is a version of the service, with two leaves.
type version struct {
	leaves []*platformtest.Leaf

	mutex   sync.Mutex
	badFrom time.Time // zero for a good version
	answers int       // since badFrom
	bad     []time.Time
}

func newVersion(name string) *version {
	v := &version{}
	for _, suffix := range []string{"a", "b"} {
		leaf := platformtest.NewLeaf("vault-"+name+"-"+suffix, platformtest.LookupService, 2, []byte("the filed quote"))
		leaf.Version = name
		leaf.SetBehaviour(v.behave)
		v.leaves = append(v.leaves, leaf)
	}
	return v
}

// turnBad makes each second answer a failure from a time on.
func (v *version) turnBad(from time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.badFrom = from
}

func (v *version) behave(platformtest.Arrival, int) (time.Duration, platformtest.Fault) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := time.Now()
	if v.badFrom.IsZero() || now.Before(v.badFrom) {
		return leafWork, platformtest.FaultNone
	}
	v.answers++
	if v.answers%2 == 0 {
		return leafWork, platformtest.FaultNone
	}
	v.bad = append(v.bad, now)
	return leafWork, platformtest.FaultInternalError
}

func (v *version) badCount() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return len(v.bad)
}

// lastAllowedAt returns the time after which the version may get no request; zero if there were too
// few bad answers.
func (v *version) lastAllowedAt() time.Time {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	slices.SortFunc(v.bad, time.Time.Compare)
	if len(v.bad) < badAnswers {
		return time.Time{}
	}
	return v.bad[badAnswers-1].Add(rollbackTime)
}

// beat writes the entries of the leaves at each heartbeat, as far as they have changed, until the
// process ends.
func (v *version) beat(c *rig2.Case) {
	started := time.Now()
	for {
		for _, leaf := range v.leaves {
			writeChanged(c.World.Store, leaf, coldTime-time.Since(started).Truncate(heartbeat))
		}
		time.Sleep(heartbeat)
	}
}
