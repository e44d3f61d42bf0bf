package leaf

import (
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// Faults are the faults in force. Control changes them at run time.
type Faults struct {
	// SlowFactor multiplies every service time.
	SlowFactor float64 `json:"slow_factor"`
	// DelayMilliseconds holds every reply back, without using a slot.
	DelayMilliseconds int64 `json:"delay_ms"`
	// Refuse refuses every request for this reason; empty refuses none.
	Refuse protocol.Refusal `json:"refuse"`
	// Truncate leaves the last row out of every reply that has rows.
	Truncate bool `json:"truncate"`
	// Cross answers each request with the reply to the previous one.
	Cross bool `json:"cross"`
	// LoseReply is how many of the next replies are lost: the statement runs
	// and the connection is closed.
	LoseReply int `json:"lose_reply"`
	// ReportScale multiplies the reported load.
	ReportScale float64 `json:"report_scale"`
	// ReportLagMilliseconds is the age of the reported load.
	ReportLagMilliseconds int64 `json:"report_lag_ms"`
	// ReportState is reported in place of the true state; empty reports the true one.
	ReportState protocol.State `json:"report_state"`
	// ReportFixed is reported in place of the true load, if set.
	ReportFixed *protocol.LoadSummary `json:"report_fixed"`
}

// faults guards the faults in force.
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

// takeLostReply reports whether this reply is to be lost, and counts it.
func (f *faultState) consumeLostReply() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.current.LoseReply <= 0 {
		return false
	}
	f.current.LoseReply--
	return true
}
