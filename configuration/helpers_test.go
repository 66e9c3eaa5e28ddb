package configuration

import (
	"compress/gzip"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/upstream"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// testCompressor is shared, because creating one takes longer than most uses of it.
var testCompressor = compressor{writer: gzip.NewWriter(nil)}

// TestMain fixes the seed of rapid, unless a flag sets it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// sampleDocument returns a document with one group and the given numbers of
// services and replicas.
func sampleDocument(services, replicas int) Document {
	d := Document{
		Units: []contract.Unit{{Name: "pal", Dimension: contract.Time, Factor: "1/60"}},
		Contracts: []contract.Contract{{
			Name: "licence-check", Groups: []string{"licence-desk"}, AnswerTime: "10 pal",
			MinimumCoverage: "0.99 whole", UpstreamLoad: "2 slot",
		}},
		Groups: []Group{{Name: "licence-desk"}},
	}
	const centres = 9
	for i := range centres {
		d.DataCentres = append(d.DataCentres, DataCentre{Name: fmt.Sprintf("region-%d-%c", i/3, 'a'+i%3), Region: fmt.Sprintf("region-%d", i/3)})
	}
	parts := upstream.Split(services)
	for i := range services {
		d.Groups[0].Services = append(d.Groups[0].Services, Service{Name: fmt.Sprintf("licence-desk-%03d", i), Partition: parts[i]})
	}
	for i := range replicas {
		s := &d.Groups[0].Services[i%services]
		s.Replicas = append(s.Replicas, Replica{
			ID:         fmt.Sprintf("licence-desk-%03d-%08x", i%services, uint32(i)*2654435761),
			DataCentre: d.DataCentres[i/services%centres].Name,
			Address:    fmt.Sprintf("10.%d.%d.%d:8400", 16+i%centres, i/250%250, 2+i%250),
			Slots:      2, Connections: 25,
		})
	}
	return d
}

// sampleSnapshot returns version 1 with a sample document.
func sampleSnapshot(t testing.TB, services, replicas int) *snapshot {
	t.Helper()
	p := Patch{ID: "first", Type: MergePatch, Body: canonical(sampleDocument(services, replicas))}
	return mustApply(t, emptySnapshot(), p)
}

// mustApply returns the version that results from a valid patch.
func mustApply(t testing.TB, s *snapshot, p Patch) *snapshot {
	t.Helper()
	p.Base, p.Time = s.Number, start
	next, err := s.patched(p, submitted)
	if err != nil {
		t.Fatal(err)
	}
	next = s.append(next, p)
	if _, err := Compile(next.Version); err != nil {
		t.Fatal(err)
	}
	return next
}

// setOut returns a patch that takes a data centre out of service or back into
// service.
func setOut(id string, centre int, out bool) Patch {
	body := fmt.Sprintf(`[{"op":"replace","path":"/data_centres/%d/out","value":%t}]`, centre, out)
	return Patch{ID: id, Author: "operator", Type: JSONPatch, Body: json.RawMessage(body)}
}

// setSlots returns a patch that sets the slots of one replica.
func setSlots(id string, service, replica, slots int) Patch {
	body := fmt.Sprintf(`[{"op":"replace","path":"/groups/0/services/%d/replicas/%d/slots","value":%d}]`, service, replica, slots)
	return Patch{ID: id, Author: "operator", Type: JSONPatch, Body: json.RawMessage(body)}
}

// wholeValue returns the value of a whole version.
func wholeValue(t testing.TB, s *snapshot) []byte {
	t.Helper()
	value, err := testCompressor.encodeValue(s.Version)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// objects is the content of a store.
type objects map[string]objectstore.Object

// stored returns a head without patches and a checkpoint of its version.
func stored(t testing.TB, s *snapshot) objects {
	t.Helper()
	c := checkpoint{}.afterWriting(s, 1)
	value, err := (&head{Format: headFormat, Number: s.Number, Digest: s.Digest, Checkpoint: c}).encode(&testCompressor)
	if err != nil {
		t.Fatal(err)
	}
	return objects{
		ObjectName: {Name: ObjectName, Version: s.Number, Value: value},
		c.name():   {Name: c.name(), Version: 1, Value: wholeValue(t, s)},
	}
}

// get returns an object, or ErrNotFound if it is absent.
func (o objects) get(name string) (objectstore.Object, error) {
	if o[name].Version == 0 {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return o[name], nil
}

// put updates an object if its version is base.
func (o objects) put(name string, base uint64, value []byte) (objectstore.Object, error) {
	if o[name].Version != base {
		return objectstore.Object{}, objectstore.ErrConflict
	}
	o[name] = objectstore.Object{Name: name, Version: base + 1, Value: value}
	return objectstore.Object{Name: name, Version: base + 1}, nil
}

// read serves the reads of an editor until it returns another action.
func (o objects) read(now time.Time, e *Editor, actions []EditorAction) []EditorAction {
	const steps = 10
	for i := 0; i < steps && len(actions) == 1; i++ {
		read, ok := actions[0].(Read)
		if !ok {
			break
		}
		object, err := o.get(read.Name)
		actions = e.ReadDone(now, read.Call, object, err)
	}
	return actions
}

// edit submits a patch and serves the reads and writes of the editor until it
// answers.
func (o objects) edit(t testing.TB, e *Editor, p Patch) Answer {
	t.Helper()
	actions := e.Submit(start, Submission{Token: "t", Patch: p, Deadline: start.Add(testTimeout)})
	const steps = 10
	for range steps {
		actions = o.read(start, e, actions)
		if answer, ok := actions[0].(Answer); ok {
			return answer
		}
		write, ok := actions[0].(Write)
		if !ok {
			break
		}
		object, err := o.put(write.Name, write.Base, write.Value)
		actions = e.WriteDone(start, write.Call, object, err)
	}
	t.Fatalf("no answer after %d writes", steps)
	return Answer{}
}

// deliverTo passes the head to a tracker and serves its read of a checkpoint.
func (o objects) deliverTo(tr *Tracker) ([]TrackerAction, error) {
	actions, err := tr.HeadReceived(start, o[ObjectName])
	if len(actions) == 1 {
		if read, ok := actions[0].(ReadCheckpoint); ok {
			return tr.ReadCheckpointDone(start, read.Call, o[read.Name], nil)
		}
	}
	return actions, err
}
