package console

import (
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
)

// draft is a document that an operator edits.
type draft struct {
	base     config.Generation // generation it started from; 0: the first document
	original *config.Document  // document of that generation
	document *config.Document
	conflict *repository.ConflictError // of the last apply; nil if none
	overlaps []string                  // places that both operators changed, after a merge
}

// newDraft starts from a generation's document, or from an empty one.
func newDraft(base config.Generation, original *config.Document) (*draft, error) {
	if original == nil {
		original = &config.Document{}
	}
	document, err := config.Clone(original)
	if err != nil {
		return nil, trace.Wrap(err, "copy the document")
	}
	return &draft{base: base, original: original, document: document}, nil
}

// changes returns what the draft changes.
func (d *draft) changes() []config.Change { return config.Diff(d.original, d.document) }

// currentDraft returns the session's draft. One without changes follows what
// is in force.
func (c *Console) currentDraft(s *session) (*draft, error) {
	snap := c.deps.Documents.Current()
	var gen config.Generation
	var doc *config.Document
	if snap != nil {
		gen, doc = snap.Generation, snap.Document
	}
	if s.draft != nil && (s.draft.base >= gen || len(s.draft.changes()) > 0) {
		return s.draft, nil
	}
	d, err := newDraft(gen, doc)
	if err != nil {
		return nil, err
	}
	s.draft = d
	return d, nil
}

// rebaseOn puts the draft's changes on top of another generation.
func (d *draft) rebaseOn(gen config.Generation, theirs *config.Document) (*draft, error) {
	merged, overlaps, err := config.Merge(d.original, d.document, theirs)
	if err != nil {
		return nil, trace.Wrap(err, "merge with generation %d", gen)
	}
	return &draft{base: gen, original: theirs, document: merged, overlaps: overlaps}, nil
}
