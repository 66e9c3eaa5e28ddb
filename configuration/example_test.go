package configuration_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/objectstore"
)

const firstDocument = `{
	"contracts": [{"name": "gate", "groups": ["gate-desk"], "answer_time": "0.2 second",
		"minimum_coverage": "0.9 whole", "upstream_load": "2 slot"}],
	"data_centres": [{"name": "bole", "region": "addis"}, {"name": "akaki", "region": "addis"}],
	"groups": [{"name": "gate-desk", "services": [{"name": "gate-desk-0",
		"partition": {"start": "0", "end": "0"},
		"replicas": [{"id": "g0", "data_centre": "bole", "address": "127.0.0.1:7001", "slots": 2, "connections": 25}]}]}]
}`

// Creates the first version with an Editor and puts it in force with a Tracker.
func Example() {
	now := time.Unix(0, 0)
	editor := configuration.NewEditor(configuration.EditorConfig{})
	tracker := configuration.NewTracker(configuration.TrackerConfig{Host: "host-1"})

	actions := editor.Submit(now, configuration.Submission{
		Token:    "request-1",
		Deadline: now.Add(time.Second),
		Patch: configuration.Patch{
			ID: "p1", Author: "operator", Type: configuration.MergePatch, Body: []byte(firstDocument),
		},
	})
	read := actions[0].(configuration.Read)
	actions = editor.ReadDone(now, read.Call, objectstore.Object{}, objectstore.ErrNotFound)
	write := actions[0].(configuration.Write)
	actions = editor.WriteDone(now, write.Call, objectstore.Object{Version: 1}, nil)
	answer := actions[0].(configuration.Answer)
	fmt.Println("accepted as", answer.Result.Number)

	if _, err := tracker.HeadReceived(now, answer.Result.Object); err != nil {
		fmt.Println(err)
		return
	}
	limits, _ := tracker.Active().Contract("gate")
	fmt.Println("in force:", tracker.Number(), limits.AnswerTime, limits.MinimumCoverage)
	// Output:
	// accepted as 1
	// in force: 1 200ms 9/10
}
