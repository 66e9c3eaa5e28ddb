package settings

import (
	"testing"

	"github.com/cockroachdb/errors"
)

const validSettings = `
[host]
id = entry-1
data_centre = lahore-a
caller_address = 127.0.0.1:8080
peer_address = 127.0.0.1:7080
[platform]
address = 127.0.0.1:9000
`

// Guards against default values that fail validation.
func TestDefaultsPassValidation(t *testing.T) {
	s, err := Parse("a.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Policy.Choice != "two-choices" || s.Once.Journals != 8 {
		t.Fatalf("defaults not applied: %+v", s)
	}
}

// Guards against validation that stops at the first problem, and against unknown or
// repeated keys that are silently ignored.
func TestParseListsEveryProblem(t *testing.T) {
	text := validSettings + `
timeout = soon
timeout = 1s
[limits]
body_bytes = 0
boddy_bytes = 10
[balancer]
lag = 3s
[policy]
choice = best
extra_load = NaN
`
	_, err := Parse("a.ini", []byte(text))
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got %v, want Problems", err)
	}
	found := make(map[string]bool)
	for _, p := range problems {
		found[p.Section+"."+p.Key] = true
	}
	for _, want := range []string{"platform.timeout", "limits.body_bytes", "limits.boddy_bytes",
		"balancer.lag", "policy.choice", "policy.extra_load"} {
		if !found[want] {
			t.Errorf("no problem for %s in:\n%v", want, problems)
		}
	}
}

// Guards against accepting settings that are valid individually but not together.
func TestConflictingSettingsAreRefused(t *testing.T) {
	_, err := Parse("a.ini", []byte(validSettings+"[membership]\nperiod = 2s\n[drain]\ngrace = 2s\n"))
	var problems Problems
	if !errors.As(err, &problems) || len(problems) != 2 {
		t.Fatalf("got %v, want two problems", err)
	}
}

// Guards against journals that take the memory of a host.
func TestJournalsFitTheMemory(t *testing.T) {
	text := func(journals string) []byte {
		return []byte(validSettings + "[limits]\nmemory_mb = 64\n[once]\njournals = " + journals + "\n")
	}
	if _, err := Parse("a.ini", text("16")); err != nil {
		t.Errorf("16 journals in 64 MB: %v", err)
	}
	var problems Problems
	if _, err := Parse("a.ini", text("17")); !errors.As(err, &problems) || len(problems) != 1 || problems[0].Key != "journals" {
		t.Errorf("17 journals in 64 MB: %v, want a problem", err)
	}
}
