package config

import (
	_ "embed"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"github.com/invopop/jsonschema"
)

// documentSource is the source code of the document's types. Its comments are
// the field descriptions in the JSON Schema and in forms.
//
//go:embed document.go
var documentSource string

// Schema returns the JSON Schema of the document. Descriptions are taken from the
// comments of the Go types.
func Schema() ([]byte, error) {
	docs, err := fieldDocs()
	if err != nil {
		return nil, err
	}
	r := jsonschema.Reflector{
		RequiredFromJSONSchemaTags: true,
		CommentMap:                 docs,
	}
	raw, err := json.MarshalIndent(r.ReflectFromType(reflect.TypeFor[Document]()), "", "  ")
	return raw, trace.Wrap(err, "encode schema")
}

// FieldDoc returns the description of a field, given its Go type and field names,
// such as "Link" and "OneWayMS". It returns "" if there is none.
func FieldDoc(typeName, field string) string {
	docs, err := fieldDocs()
	if err != nil {
		return ""
	}
	return docs[packagePath()+"."+typeName+"."+field]
}

func packagePath() string { return reflect.TypeFor[Document]().PkgPath() }

// fieldDocs returns the descriptions, keyed by "package.Type" and
// "package.Type.Field".
var fieldDocs = sync.OnceValues(func() (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "document.go", documentSource, parser.ParseComments)
	if err != nil {
		return nil, trace.Wrap(err, "parse the source of the document's types")
	}
	docs := make(map[string]string)
	for _, decl := range file.Decls {
		if gen, ok := decl.(*ast.GenDecl); ok && gen.Tok == token.TYPE {
			collectDocs(docs, gen)
		}
	}
	return docs, nil
})

func collectDocs(docs map[string]string, gen *ast.GenDecl) {
	for _, spec := range gen.Specs {
		typeSpec := spec.(*ast.TypeSpec)
		name := packagePath() + "." + typeSpec.Name.Name
		docs[name] = oneLine(gen.Doc.Text())
		structType, ok := typeSpec.Type.(*ast.StructType)
		if !ok {
			continue
		}
		for _, field := range structType.Fields.List {
			docs[name+"."+field.Names[0].Name] = oneLine(field.Comment.Text())
		}
	}
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
