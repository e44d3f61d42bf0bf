package event

import (
	"fmt"
	"reflect"
	"strings"
)

// allEvents returns a zero event of each type, in the order of the page.
func allEvents() []Event {
	return []Event{
		Request{}, RequestLost{},
		StoreSnapshotRead{}, SnapshotCopied{}, SnapshotCopyFailed{}, StoreLost{}, StoreRegained{}, StoreRestored{}, WatcherFailed{},
		ConfigInstalled{}, ConfigRejected{},
		LeafChanged{}, LeafRejected{}, ZoneCordoned{},
		RequestSuspected{}, TrialFailed{}, RequestHeld{}, RequestReleased{}, LeafSurvived{}, QuarantineNotWritten{}, QuarantineRejected{},
		RolloutOrdered{}, RolloutRejected{}, RolloutChanged{}, RolloutDecided{}, DeciderChanged{},
		NodeChanged{}, NodeRejected{}, NodeNotAnnounced{}, LeaseLapsed{}, LeaseNotRenewed{},
		ExecutorInTouch{}, ExecutorsLost{}, CombinerInTouch{}, CombinerLost{},
		Started{}, Resumed{}, ClientClosed{}, Draining{}, Stopped{}, SettingsReloaded{}, SettingsRejected{}, Failed{},
	}
}

// writePage returns the page: the introduction, then a section for each event.
func writePage(head string, events []Event) string {
	var page strings.Builder
	page.WriteString(head)
	for _, event := range events {
		kind := event.Kind()
		fmt.Fprintf(&page, "\n## %s\n\n%s Level: %s.\n", kind.Message, kind.Meaning, strings.ToLower(kind.Level.String()))
		writeFieldTable(&page, loggedFields(reflect.TypeOf(event)))
	}
	page.WriteString("\n## An attempt, in the field `attempts`\n")
	writeFieldTable(&page, loggedFields(reflect.TypeFor[Attempt]()))
	return page.String()
}

func writeFieldTable(page *strings.Builder, fields []Field) {
	if len(fields) == 0 {
		return
	}
	page.WriteString("\n| Field | Meaning |\n| --- | --- |\n")
	for _, field := range fields {
		fmt.Fprintf(page, "| `%s` | %s |\n", field.Name, field.Doc)
	}
}
