package config

import (
	"bytes"
	"errors"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"
)

// Check parses and validates a document. The error is an *InvalidError with the
// faults of Parse and, if the text can be decoded despite them, those of
// Validate, each with its line number.
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
		invalid.Faults = append(invalid.Faults, validationFaults(value.Clone())...)
	}
	addLines(invalid.Faults, raw, &value)
	return nil, invalid
}

// validationFaults returns the faults of Validate for a text with unknown or
// duplicate fields, or nil if it cannot be decoded.
func validationFaults(value hujson.Value) []Fault {
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

// addLines sets the line number of each fault to that of its value, or of the
// innermost enclosing value if the value itself is missing from the text.
func addLines(faults []Fault, raw []byte, value *hujson.Value) {
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line = lineAt(raw, nearestValue(value, jsonPointer(faults[i].Path)).StartOffset)
		}
	}
}

func lineAt(raw []byte, offset int) int {
	return 1 + bytes.Count(raw[:min(offset, len(raw))], []byte("\n"))
}

var indexPattern = regexp.MustCompile(`\[(\d+)\]`)

// jsonPointer converts a path to a JSON pointer (RFC 6901). Field names contain no
// characters that need escaping.
func jsonPointer(path string) string {
	if path == "" {
		return ""
	}
	return "/" + strings.ReplaceAll(indexPattern.ReplaceAllString(path, "/$1"), ".", "/")
}

// nearestValue returns the value at a pointer, or the innermost value that encloses
// it.
func nearestValue(value *hujson.Value, pointer string) *hujson.Value {
	for pointer != "" {
		if found := value.Find(pointer); found != nil {
			return found
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return value
}
