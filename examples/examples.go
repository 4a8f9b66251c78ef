// Package examples holds the two example documents, for the demo, the benches
// and tests.
package examples

import (
	_ "embed"
	"maps"
	"slices"
)

// estiba is the document of Fundación Estiba Segura del Plata.
//
//go:embed estiba.jsonc
var estiba []byte

// lydspor is the document of Lydspor Studios ApS.
//
//go:embed lydspor.jsonc
var lydspor []byte

// Names returns the names of the example deployments, sorted.
func Names() []string { return slices.Sorted(maps.Keys(all())) }

// Document returns a copy of the text of an example document; ok is false
// when there is no deployment of that name.
func Document(deployment string) (text []byte, ok bool) {
	text, ok = all()[deployment]
	return slices.Clone(text), ok
}

func all() map[string][]byte {
	return map[string][]byte{"estiba": estiba, "lydspor": lydspor}
}
