package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors for refused patches, rejected values and invalid documents. Returned
// errors wrap them, so compare with errors.Is.
var (
	// ErrStale reports a patch whose base is not the current version. The error
	// is a *StaleError.
	ErrStale = errors.New("patch is based on another version")
	// ErrIDReused reports a patch id under which another patch was accepted.
	ErrIDReused = errors.New("patch id was used for another patch")
	// ErrPatch reports a patch that is malformed or cannot be applied.
	ErrPatch = errors.New("patch cannot be applied")
	// ErrInvalid reports an invalid document. The error is an *InvalidError.
	ErrInvalid = errors.New("document is invalid")
	// ErrTooLarge reports a patch, document or stored value above its size limit.
	ErrTooLarge = errors.New("configuration is too large")
	// ErrBusy reports that too many patches are waiting. This one was not accepted.
	ErrBusy = errors.New("too many patches are waiting")
	// ErrUnavailable reports that the platform could not be reached in time. The
	// patch was not accepted and will not be.
	ErrUnavailable = errors.New("platform unavailable, patch not accepted")
	// ErrUnknownOutcome reports that the patch may have been accepted. Sending it
	// again with the same id returns its outcome.
	ErrUnknownOutcome = errors.New("patch may have been accepted")
	// ErrCorrupt reports a stored value, or a response of a peer, that is
	// malformed or does not match its digest.
	ErrCorrupt = errors.New("configuration value is corrupt")
	// ErrDiverged reports two versions with the same number but different digests.
	ErrDiverged = errors.New("another document has the same version number")
)

// Kinds of problems of a document, besides those of package contract.
var (
	// ErrSyntax reports malformed JSON.
	ErrSyntax = errors.New("malformed JSON")
	// ErrUnknownField reports a field that the document does not have.
	ErrUnknownField = errors.New("unknown field")
	// ErrDuplicateField reports a field that occurs twice in an object.
	ErrDuplicateField = errors.New("duplicate field")
	// ErrType reports a JSON value of the wrong type.
	ErrType = errors.New("wrong type")
	// ErrName reports a malformed or empty name.
	ErrName = errors.New("malformed name")
	// ErrDuplicateName reports a name, id or address that is used twice.
	ErrDuplicateName = errors.New("duplicate name")
	// ErrUnknownName reports a reference to something that does not exist.
	ErrUnknownName = errors.New("unknown name")
	// ErrAddress reports an address that is not an IP address and a port.
	ErrAddress = errors.New("malformed address")
	// ErrRange reports a number outside its bounds.
	ErrRange = errors.New("out of range")
	// ErrPartition reports hash ranges that do not divide the hash space.
	ErrPartition = errors.New("inconsistent hash ranges")
	// ErrNoDataCentre reports that no data centre is in service.
	ErrNoDataCentre = errors.New("no data centre in service")
	// ErrEmpty reports a group without services or a service without replicas.
	ErrEmpty = errors.New("empty")
)

// maxProblems bounds the length of an InvalidError.
const maxProblems = 1000

// Problem is one reason why a document is invalid.
type Problem struct {
	// Path is the location in the document as a JSON pointer (RFC 6901).
	Path string
	// Kind is an error of this package or of package contract.
	Kind error
	// Detail describes the value that was found.
	Detail string
}

// Error returns the location, the kind and the detail.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Kind, p.Detail)
}

// Unwrap returns the kind.
func (p Problem) Unwrap() error { return p.Kind }

// InvalidError lists all problems of a document.
type InvalidError struct {
	Problems []Problem
	// Omitted is the number of problems beyond the first 1,000.
	Omitted int
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := []string{ErrInvalid.Error()}
	for _, p := range e.Problems {
		lines = append(lines, p.Error())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d more problems", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid and the problems.
func (e *InvalidError) Unwrap() []error {
	errs := []error{ErrInvalid}
	for _, p := range e.Problems {
		errs = append(errs, p)
	}
	return errs
}

// problems collects the problems found so far.
type problems struct {
	list    []Problem
	omitted int
}

// add records a problem with a formatted detail.
func (ps *problems) add(path string, kind error, format string, args ...any) {
	if len(ps.list) >= maxProblems {
		ps.omitted++
		return
	}
	ps.list = append(ps.list, Problem{Path: path, Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// err returns all problems as one error, or nil.
func (ps *problems) err() error {
	if len(ps.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: ps.list, Omitted: ps.omitted}
}

// Difference is one version between the base of a refused patch and the
// current version.
type Difference struct {
	Number uint64    `json:"number"`
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Paths are the locations that the patch changed, as JSON pointers. It is
	// empty if the body of the patch is no longer kept.
	Paths []string `json:"paths,omitempty"`
}

// StaleError reports a patch whose base is not the current version.
type StaleError struct {
	Base    uint64
	Current uint64
	// Differences are the versions after Base that are still in the history.
	Differences []Difference
	// Complete reports that Differences holds every version after Base.
	Complete bool
	// HistoryTruncated reports that the history no longer reaches back to Base.
	// It is then unknown whether this patch was accepted before.
	HistoryTruncated bool
}

// Error returns both numbers and the differences.
func (e *StaleError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: base %d, current %d", ErrStale, e.Base, e.Current)
	if e.HistoryTruncated {
		b.WriteString("; the history does not reach back to the base, so the patch may have been accepted before")
	}
	for _, d := range e.Differences {
		fmt.Fprintf(&b, "; %d by %s (%s): %s", d.Number, d.Author, d.ID, strings.Join(d.Paths, " "))
	}
	return b.String()
}

// Unwrap returns ErrStale.
func (e *StaleError) Unwrap() error { return ErrStale }
