package configuration

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/contract"
)

// Guards against an invalid document that is accepted, or whose problem is reported
// with the wrong kind or path.
func TestParseDocumentRefuses(t *testing.T) {
	const s0, s1, r0 = "/groups/0/services/0", "/groups/0/services/1", "/groups/0/services/0/replicas/0"
	tests := []struct {
		old, new string // replacement in the JSON form
		kind     error
		path     string
	}{
		{`{"units"`, `{"units`, ErrSyntax, ""},
		{`"slots":2`, `"slotz":2`, ErrUnknownField, r0 + "/slotz"},
		{`"slots":2`, `"Slots":2`, ErrUnknownField, r0 + "/Slots"},
		{`"slots":2`, `"slots":2,"slots":3`, ErrDuplicateField, r0 + "/slots"},
		{`"slots":2`, `"slots":"2"`, ErrType, r0 + "/slots"},
		{`"slots":2`, `"slots":null`, ErrType, r0 + "/slots"},
		{`"slots":2`, `"slots":0`, ErrRange, r0 + "/slots"},
		{`"slots":2`, `"slots":-1`, ErrRange, r0 + "/slots"},
		{`"connections":25`, `"connections":0`, ErrRange, r0 + "/connections"},
		{`"start":"0"`, `"start":0`, ErrType, s0 + "/partition/start"},
		{`"start":"0"`, `"start":"-1"`, ErrType, s0 + "/partition/start"},
		{`"start":"0"`, `"start":"1"`, ErrPartition, s0 + "/partition"},
		{`"end":"9223372036854775808"`, `"end":"9223372036854775809"`, ErrPartition, s1 + "/partition"},
		{`"end":"9223372036854775808"`, `"end":"9223372036854775807"`, ErrPartition, s1 + "/partition"},
		{`"end":"9223372036854775808"`, `"end":"0"`, ErrPartition, s1 + "/partition"},
		{`"start":"9223372036854775808","end":"0"`, `"start":"9223372036854775808","end":"9223372036854775809"`, ErrPartition, "/groups/0/services"},
		{`"name":"licence-desk-001"`, `"name":"licence-desk-000"`, ErrDuplicateName, s1 + "/name"},
		{`"name":"licence-desk-001"`, `"name":"a/b"`, ErrName, s1 + "/name"},
		{`"name":"licence-desk-001"`, `"name":""`, ErrName, s1 + "/name"},
		{`"address":"10.17.0.3:8400"`, `"address":"10.16.0.2:8400"`, ErrDuplicateName, "/groups/0/services/1/replicas/0/address"},
		{`"address":"10.17.0.3:8400"`, `"address":"[::ffff:10.16.0.2]:8400"`, ErrDuplicateName, "/groups/0/services/1/replicas/0/address"},
		{`"address":"10.16.0.2:8400"`, `"address":"10.16.0.2:0"`, ErrAddress, r0 + "/address"},
		{`"address":"10.16.0.2:8400"`, `"address":"localhost:1"`, ErrAddress, r0 + "/address"},
		{`"id":"licence-desk-000-00000000"`, `"id":"licence-desk-001-9e3779b1"`, ErrDuplicateName, s1 + "/replicas/0/id"},
		{`"id":"licence-desk-000-00000000"`, `"id":"a b"`, ErrName, r0 + "/id"},
		{`"data_centre":"region-0-a"`, `"data_centre":"lahore"`, ErrUnknownName, r0 + "/data_centre"},
		{`"groups":["licence-desk"]`, `"groups":["owner-records"]`, ErrUnknownName, "/contracts/0/groups/0"},
		{`"0.99 whole"`, `"1.1 whole"`, contract.ErrShareAboveOne, "/contracts/0/minimum_coverage"},
		{`"1/60"`, `"0"`, contract.ErrNotPositive, "/units/0/factor"},
		{`"name":"region-0-b"`, `"name":"region-0-a"`, ErrDuplicateName, "/data_centres/1/name"},
		{`"out":false`, `"out":true`, ErrNoDataCentre, "/data_centres"},
		{`"replicas":[{"id":"licence-desk-000-00000000","data_centre":"region-0-a","address":"10.16.0.2:8400","slots":2,"connections":25}]`, `"replicas":[]`, ErrEmpty, s0 + "/replicas"},
	}
	valid := string(canonical(sampleDocument(2, 2)))
	if _, err := ParseDocument([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.new, func(t *testing.T) {
			text := strings.ReplaceAll(valid, tt.old, tt.new)
			if text == valid {
				t.Fatalf("the document does not contain %s", tt.old)
			}
			_, err := ParseDocument([]byte(text))
			var invalid *InvalidError
			if !errors.As(err, &invalid) || !errors.Is(err, ErrInvalid) || !errors.Is(err, tt.kind) {
				t.Fatalf("got %v, want %v", err, tt.kind)
			}
			if invalid.Problems[0].Path != tt.path || invalid.Problems[0].Kind != tt.kind {
				t.Fatalf("got %v, want path %s", err, tt.path)
			}
		})
	}
}

// Guards against a validation that stops at the first problem.
func TestParseDocumentListsAllProblems(t *testing.T) {
	var d map[string]any
	if err := json.Unmarshal(canonical(sampleDocument(2, 2)), &d); err != nil {
		t.Fatal(err)
	}
	d["colour"], d["units"] = "blue", 3
	d["data_centres"] = []any{map[string]any{"name": 1, "size": 2}}
	_, err := ParseDocument(canonical(d))
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 4 {
		t.Fatalf("got %v, want 4 problems", err)
	}
	sample := sampleDocument(2, 2)
	sample.Contracts[0].AnswerTime = "3 slot"
	sample.Groups[0].Services[0].Replicas[0].Slots = 0
	sample.Groups[0].Services[1].Partition.Start++
	sample.DataCentres[3].Name = ""
	_, err = ParseDocument(canonical(sample))
	for _, kind := range []error{contract.ErrDimension, ErrRange, ErrPartition, ErrName} {
		if !errors.Is(err, kind) {
			t.Errorf("%v is missing from:\n%v", kind, err)
		}
	}
}

// Guards against an index that returns the wrong entry of the document.
func TestActiveLookUp(t *testing.T) {
	s := sampleSnapshot(t, 5, 40)
	s = mustApply(t, s, setOut("out", 2, true))
	a, err := Compile(s.Version)
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Document.Groups[0].Services {
		want := &s.Document.Groups[0].Services[i]
		g, got, ok := a.Service(want.Name)
		if !ok || got != want || g.Name != "licence-desk" {
			t.Fatalf("look-up of service %s returned %v", want.Name, got)
		}
		for k := range want.Replicas {
			service, replica, ok := a.Replica(want.Replicas[k].ID)
			if !ok || service != want || replica != &want.Replicas[k] {
				t.Fatalf("look-up of replica %s returned %v", want.Replicas[k].ID, replica)
			}
		}
	}
	if a.Out("region-0-a") || !a.Out("region-0-c") || !a.Out("unknown") {
		t.Error("wrong data centres are reported as out of service")
	}
}

// Guards against a successor that shares an outdated index, or that accepts a
// version that Compile rejects.
func TestSuccessorMatchesCompile(t *testing.T) {
	base := sampleSnapshot(t, 3, 6)
	active, err := Compile(base.Version)
	if err != nil {
		t.Fatal(err)
	}
	shared, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		next, err := base.patched(drawPatch(t, base.Document), submitted)
		if err != nil {
			return
		}
		got, gotErr := active.Successor(next.Version)
		want, wantErr := Compile(next.Version)
		if (gotErr == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
			t.Fatalf("Successor and Compile differ; their errors are %v and %v", gotErr, wantErr)
		}
		switch {
		case gotErr != nil:
			refused++
		case reflect.ValueOf(got.replicas).Pointer() == reflect.ValueOf(active.replicas).Pointer():
			shared++
		}
	})
	if shared < 5 || refused < 5 {
		t.Errorf("%d versions share the index, %d are refused, want at least 5 of each", shared, refused)
	}
}
