package layout

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/marigoldlever/marigoldlever/configuration"
)

var base = netip.MustParseAddrPort("127.0.0.1:20000")

// Guards against layouts that the configuration compiler rejects, or whose sizes differ
// from those in the design.
func TestDocumentsCompile(t *testing.T) {
	for name, want := range map[string]struct{ services, replicas int }{
		"indus": {20 + 30 + 2, 2*50 + 5 + 3},
		"abay":  {20 + 30 + 2, 2*50 + 4 + 4},
	} {
		l, err := Named(name)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(l.Document(base))
		if err != nil {
			t.Fatal(err)
		}
		doc, err := configuration.ParseDocument(data)
		if err != nil {
			t.Fatal(err)
		}
		active, err := configuration.Compile(configuration.Version{Number: 1, Document: doc})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		services := 0
		for _, g := range doc.Groups {
			services += len(g.Services)
		}
		if services != want.services || active.Replicas() != want.replicas {
			t.Errorf("%s: %d services and %d replicas, want %+v", name, services, active.Replicas(), want)
		}
	}
}

// Guards against a service whose replicas are all in one data centre, so that the
// failure of the data centre would make the service unavailable.
func TestReplicasSpanDataCentres(t *testing.T) {
	for _, l := range []Layout{Indus(), Abay()} {
		dataCentres := make(map[string]map[string]bool)
		for _, r := range l.Replicas(base) {
			if dataCentres[r.Service] == nil {
				dataCentres[r.Service] = make(map[string]bool)
			}
			dataCentres[r.Service][r.DataCentre] = true
		}
		for service, serviceDataCentres := range dataCentres {
			if len(serviceDataCentres) < 2 {
				t.Errorf("%s: all replicas of %s are in one data centre", l.Name, service)
			}
		}
	}
}
