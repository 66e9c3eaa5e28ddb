package once_test

import (
	"flag"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/once"
)

// init fixes the seed of rapid to make runs reproducible. A command line flag
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against a host that starts with invalid settings.
func TestNewRefusesSettings(t *testing.T) {
	for i, change := range []func(*once.Config){
		func(c *once.Config) { c.Journals = 0 },
		func(c *once.Config) { c.MaxAge = 0 },
		func(c *once.Config) { c.MaxBatch = 0 },
		func(c *once.Config) { c.MaxBackoff = 0 },
		func(c *once.Config) { c.MaxJournalBytes = objectstore.MaxValueBytes + 1 },
		func(c *once.Config) { c.ClaimReserve = c.MaxJournalBytes },
	} {
		cfg := once.DefaultConfig()
		change(&cfg)
		if _, err := once.New(cfg, "host/1", nil); err == nil {
			t.Errorf("settings with change %d are accepted", i)
		}
	}
}

// Guards against keys with several spellings of one time, and against characters
// that break the encoding of a journal.
func TestParseKey(t *testing.T) {
	good := "1764831527000-k3v9x0qd"
	if k, err := once.ParseKey(good); err != nil || k.Time.UnixMilli() != 1764831527000 {
		t.Errorf("parsing %s returns %v and error %v, want the time in the key", good, k, err)
	}
	for _, bad := range []string{"", "1764831527000", "1764831527000-short", "01-k3v9x0qd", "+1-k3v9x0qd",
		"x-k3v9x0qd", "1-k3v9x0q\n", "-1-k3v9x0qd", "1-" + strings.Repeat("a", once.MaxKeyBytes)} {
		if _, err := once.ParseKey(bad); !errors.Is(err, once.ErrKey) {
			t.Errorf("%q: %v, want ErrKey", bad, err)
		}
	}
}

// Guards against a corrupt journal, or one in another format, that is accepted.
func TestDecodeJournalRejectsCorruptValues(t *testing.T) {
	const header, line = "journal 1\n", "1764831527000-k3v9x0qd c x - 0\n"
	for _, bad := range []string{"x", "journal 2\n", header + "1764831527000-k3v9x0qd", header + line + line,
		header + line[:len(line)-1], header + "1764831527000-k3v9x0qd z x - 0\n",
		header + "1764831527000-k3v9x0qd c x - -1\n", header + "1-k c x - 0\n", header + line[:len(line)-1] + " x\n"} {
		if _, err := once.DecodeJournal([]byte(bad)); !errors.Is(err, once.ErrJournal) {
			t.Errorf("%q: %v, want ErrJournal", bad, err)
		}
	}
	got, err := once.DecodeJournal([]byte(header + line))
	want := []once.Entry{{Key: "1764831527000-k3v9x0qd", State: once.StateClaimed, Attempt: "x", Digest: "-"}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %v with error %v, want the claimed entry", got, err)
	}
}

// Guards against a choice of writers that moves journals between the remaining
// hosts when a host leaves.
func TestWriterMovesOnlyJournalsOfLeavingHost(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for journal := range 64 {
		before, after := once.WriterOf(journal, hosts), once.WriterOf(journal, hosts[1:])
		if before != "a" && before != after {
			t.Errorf("journal %d moved from %s to %s", journal, before, after)
		}
	}
	if w := once.WriterOf(0, nil); w != "" {
		t.Errorf("got writer %q without hosts", w)
	}
}
