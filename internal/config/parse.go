package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// Limits on the text of a document.
const (
	// MaxDocumentBytes is the maximum size of the text of a document.
	MaxDocumentBytes = 64 << 20
	// MaxDepth is the maximum nesting depth of objects and lists.
	MaxDepth = 16
)

// Parse decodes a document from JSON with comments and trailing commas. Unknown
// fields, duplicate fields and values of the wrong type are all reported in one
// *InvalidError. Parse neither fills in defaults nor applies the rules of
// Validate.
func Parse(raw []byte) (*Document, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, invalid(fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
	}
	if depthOf(raw) > MaxDepth {
		return nil, invalid("deeper nesting", fmt.Sprintf("at most %d levels of objects and lists", MaxDepth))
	}
	value, err := hujson.Parse(bytes.Clone(raw))
	if err != nil {
		return nil, invalid(err.Error(), "JSON with comments and trailing commas")
	}
	if err := checkShape(raw, &value); err != nil {
		return nil, err
	}
	value.Standardize()
	return decode(value.Pack())
}

func decode(std []byte) (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(std, doc); err != nil {
		return nil, trace.Wrap(err, "decode document")
	}
	return doc, nil
}

// Encode returns the document, including its client blocks, as compact JSON.
func Encode(doc *Document) ([]byte, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, trace.Wrap(err, "encode document")
	}
	return raw, nil
}

func invalid(value, allowed string) error {
	return &InvalidError{Faults: []Fault{{Value: value, Allowed: allowed}}}
}

// depthOf returns the maximum nesting depth of brackets outside strings and
// comments. It must be checked before parsing, because the parser's recursion
// is unbounded.
func depthOf(raw []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = endOfString(raw, i)
		case '/':
			i = endOfComment(raw, i)
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}

// endOfString returns the index of the closing quote of the string at start, or
// len(raw) if the string is not closed.
func endOfString(raw []byte, start int) int {
	for i := start + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(raw)
}

// endOfComment returns the last index of the comment at start, or start if there
// is no comment.
func endOfComment(raw []byte, start int) int {
	rest := raw[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		return endOfMark(raw, start, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return endOfMark(raw, start+1, "*/")
	}
	return start
}

func endOfMark(raw []byte, from int, mark string) int {
	i := bytes.Index(raw[from+1:], []byte(mark))
	if i < 0 {
		return len(raw)
	}
	return from + i + len(mark)
}
