package leaf

import (
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// Faults selects the faults to inject. A ControlRequest changes them while the leaf runs.
type Faults struct {
	// SlowFactor multiplies every service time.
	SlowFactor float64 `json:"slow_factor"`
	// DelayMilliseconds delays every reply without occupying a slot.
	DelayMilliseconds int64 `json:"delay_ms"`
	// Refuse is the reason for which every request is refused. Empty means that none is refused.
	Refuse protocol.Refusal `json:"refuse"`
	// Truncate removes the last row from every reply that has rows.
	Truncate bool `json:"truncate"`
	// Cross answers each request with the reply to the previous one.
	Cross bool `json:"cross"`
	// LoseReply is the number of upcoming replies that are lost: the statement is executed and then
	// the connection is closed without a reply.
	LoseReply int `json:"lose_reply"`
	// ReportScale multiplies the number of busy slots and the queue length in load reports.
	ReportScale float64 `json:"report_scale"`
	// ReportLagMilliseconds is the age of the reported load.
	ReportLagMilliseconds int64 `json:"report_lag_ms"`
	// ReportState is reported instead of the actual state unless it is empty.
	ReportState protocol.State `json:"report_state"`
	// ReportFixed is reported instead of the actual load unless it is nil.
	ReportFixed *protocol.LoadSummary `json:"report_fixed"`
}

// faultState holds the current faults.
type faultState struct {
	mutex   sync.Mutex
	current Faults
}

func newFaults(config Config) *faultState {
	return &faultState{current: Faults{
		SlowFactor:            config.SlowFactor,
		ReportScale:           config.ReportScale,
		ReportLagMilliseconds: time.Duration(config.ReportLag).Milliseconds(),
	}}
}

func (f *faultState) get() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current
}

func (f *faultState) update(change func(*Faults)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(&f.current)
}

// consumeLostReply reports whether this reply must be lost, and decrements the number of replies to
// lose.
func (f *faultState) consumeLostReply() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.current.LoseReply <= 0 {
		return false
	}
	f.current.LoseReply--
	return true
}
