package leaf

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
)

// The paths of the control API.
const (
	ControlPath    = "/control"
	ExecutionsPath = "/control/executions"
	JournalPath    = "/control/journal"
)

// ControlRequest is the body of POST /control. Absent fields change nothing.
type ControlRequest struct {
	// Faults replaces the fields that are present in the JSON.
	Faults
	// Drain starts draining if it is true and accepts new requests again if it is false.
	Drain *bool `json:"drain,omitempty"`
	// AddVersion and DropVersion change the index versions that the leaf holds.
	AddVersion  uint64 `json:"add_version,omitempty"`
	DropVersion uint64 `json:"drop_version,omitempty"`
	// AddPartition and DropEpoch change the partition epochs that the leaf holds.
	AddPartition *Partition `json:"add_partition,omitempty"`
	DropEpoch    uint64     `json:"drop_epoch,omitempty"`
}

func (s *Server) routeControl(router *echo.Echo) {
	router.GET(ControlPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.get()) })
	router.POST(ControlPath, s.handleControl)
	router.GET(ExecutionsPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Executions()) })
	router.GET(JournalPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.journal.snapshot()) })
	router.POST(JournalPath, s.handleJournal)
}

// handleControl applies a ControlRequest. It returns the faults that are in force afterwards.
func (s *Server) handleControl(c echo.Context) error {
	var control ControlRequest
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := decodeStrict(body, &control); err != nil {
		return err
	}
	if control.AddPartition != nil {
		if err := control.AddPartition.validate(); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
	}
	// Decoding into the current faults replaces only the fields that are present.
	s.faults.update(func(faults *Faults) { err = json.Unmarshal(body, faults) })
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.applyControl(control)
	return c.JSON(http.StatusOK, s.faults.get())
}

// applyControl changes the drain state and the holdings. Versions and epochs are added before
// others are dropped.
func (s *Server) applyControl(control ControlRequest) {
	if control.Drain != nil {
		s.draining.Store(*control.Drain)
		s.logger.Info("drain changed", "draining", *control.Drain)
	}
	if control.AddPartition != nil {
		s.holdings.addPartition(*control.AddPartition)
	}
	if control.AddVersion > 0 {
		s.holdings.addVersion(control.AddVersion)
	}
	if control.DropVersion > 0 {
		s.holdings.dropVersion(control.DropVersion)
	}
	if control.DropEpoch > 0 {
		s.holdings.dropEpoch(control.DropEpoch)
	}
}

// handleJournal adds rows that were inserted on other replicas of the shard.
func (s *Server) handleJournal(c echo.Context) error {
	var entries []InsertedRow
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := decodeStrict(body, &entries); err != nil {
		return err
	}
	for _, entry := range entries {
		if len(entry.Row) != len(Columns(s.config.Service)) {
			return echo.NewHTTPError(http.StatusBadRequest,
				fmt.Sprintf("journal entry of request %q: row has %d values, want %d",
					entry.RequestID, len(entry.Row), len(Columns(s.config.Service))))
		}
	}
	s.addInsertedRows(entries...)
	return c.NoContent(http.StatusNoContent)
}
