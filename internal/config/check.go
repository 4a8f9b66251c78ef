package config

import (
	"bytes"
	"errors"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"
)

// Check reads a document from JSON with comments and validates it. The error
// is an *InvalidError that holds the faults of Parse and, where the text can
// be decoded all the same, those of Validate, each with its line.
func Check(raw []byte) (*Document, error) {
	doc, err := Parse(raw)
	if err == nil {
		err = Validate(doc)
	}
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return doc, err
	}
	if len(raw) > MaxDocumentBytes || depthOf(raw) > MaxDepth {
		return nil, err
	}
	value, parseErr := hujson.Parse(bytes.Clone(raw))
	if parseErr != nil {
		return nil, err
	}
	if doc == nil {
		invalid.Faults = append(invalid.Faults, faultsBeyondShape(value.Clone())...)
	}
	addLines(invalid.Faults, raw, &value)
	return nil, invalid
}

// faultsBeyondShape returns the faults of Validate for a text with unknown or
// repeated fields, none when it cannot be decoded.
func faultsBeyondShape(value hujson.Value) []Fault {
	value.Standardize()
	doc, err := decode(value.Pack())
	if err != nil {
		return nil
	}
	var invalid *InvalidError
	if errors.As(Validate(doc), &invalid) {
		return invalid.Faults
	}
	return nil
}

// addLines gives each fault the line of its value, or of the nearest one
// around it when the value is not in the text.
func addLines(faults []Fault, raw []byte, value *hujson.Value) {
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line = lineAt(raw, nearest(value, pointerOf(faults[i].Path)).StartOffset)
		}
	}
}

func lineAt(raw []byte, offset int) int {
	return 1 + bytes.Count(raw[:min(offset, len(raw))], []byte("\n"))
}

var indexPattern = regexp.MustCompile(`\[(\d+)\]`)

// pointerOf turns a path into a JSON pointer (RFC 6901); names of fields hold
// no characters to escape.
func pointerOf(path string) string {
	if path == "" {
		return ""
	}
	return "/" + strings.ReplaceAll(indexPattern.ReplaceAllString(path, "/$1"), ".", "/")
}

// nearest returns the value at a pointer or the innermost one around it.
func nearest(value *hujson.Value, pointer string) *hujson.Value {
	for pointer != "" {
		if found := value.Find(pointer); found != nil {
			return found
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return value
}
