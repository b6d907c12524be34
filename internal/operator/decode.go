package operator

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/berylfall/berylfall/internal/core"
)

// MaxContractBytes bounds the size of a contract in a file or a request body.
const MaxContractBytes = 64 << 10

// maxNesting bounds the nesting of the YAML input. A contract has five levels.
const maxNesting = 32

// Problem is one error in a contract. Line and Column start at 1 and are 0 if the
// contract was not parsed from text.
type Problem struct {
	File   string
	Line   int
	Column int
	Err    *core.Error
}

// String returns the problem in the form file:line:column: field: reason.
func (p Problem) String() string {
	if p.Line == 0 {
		return p.Err.Error()
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Err.Error())
}

func (p Problem) isBefore(other Problem) bool {
	if p.Line != other.Line {
		return p.Line < other.Line
	}
	return p.Column < other.Column
}

// Problems are all errors found in one contract. As an error it wraps those of the
// single problems, which have the code for invalid input.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems' errors.
func (p Problems) Unwrap() []error {
	list := make([]error, 0, len(p))
	for _, problem := range p {
		list = append(list, problem.Err)
	}
	return list
}

// ParseContract parses and validates a contract in YAML. The error, if any, has the
// type Problems and lists every unknown field, wrong type and value out of range in
// the order of the file.
func ParseContract(file string, data []byte) (*core.Contract, error) {
	d := decoder{file: file, positions: map[string]*token.Position{}}
	contract := &core.Contract{}
	root := d.parse(data)
	if root == nil {
		return nil, d.problems
	}
	d.decode(root, "", reflect.ValueOf(contract).Elem())
	for _, e := range ValidateContract(contract) {
		if !d.hasProblem(e.Field) {
			d.addProblem(d.position(e.Field), e)
		}
	}
	if len(d.problems) > 0 {
		sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].isBefore(d.problems[j]) })
		return nil, d.problems
	}
	return contract, nil
}

// decoder fills a struct from a YAML syntax tree. Unlike the library's strict mode
// it continues after an error, so that one run reports all of them.
type decoder struct {
	file      string
	positions map[string]*token.Position // by field path, such as services[0].name
	problems  Problems
}

func (d *decoder) addProblem(at *token.Position, e *core.Error) {
	p := Problem{File: d.file, Line: 1, Column: 1, Err: e}
	if at != nil {
		p.Line, p.Column = at.Line, at.Column
	}
	d.problems = append(d.problems, p)
}

// hasProblem reports whether there is already a problem at the field or one of its
// parents, so that the validation of values does not report it again.
func (d *decoder) hasProblem(field string) bool {
	for _, p := range d.problems {
		at := p.Err.Field
		if at == field || strings.HasPrefix(field, at+".") || strings.HasPrefix(field, at+"[") {
			return true
		}
	}
	return false
}

// position returns the position of the field, or of its nearest parent that has
// one.
func (d *decoder) position(field string) *token.Position {
	for field != "" {
		if at := d.positions[field]; at != nil {
			return at
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return d.positions[""]
}

func (d *decoder) parse(data []byte) ast.Node {
	if len(data) > MaxContractBytes {
		d.addProblem(nil, core.InvalidError("file", fmt.Sprint(len(data), " bytes"), fmt.Sprintf("up to %d bytes", MaxContractBytes), "is too large"))
		return nil
	}
	if line := findExcessiveNesting(data); line > 0 {
		d.addProblem(&token.Position{Line: line, Column: 1}, core.InvalidError("file", "", fmt.Sprintf("up to %d levels", maxNesting), "is nested too deeply"))
		return nil
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.addProblem(locateSyntaxError(err))
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		d.addProblem(nil, core.InvalidError("file", fmt.Sprint(len(file.Docs), " documents"), "one YAML document with one contract", "does not hold one contract"))
		return nil
	}
	return file.Docs[0].Body
}

// findExcessiveNesting returns the first line that opens more than maxNesting
// levels, or 0. The parser's running time grows faster than the square of the depth:
// 256 KiB of "[" took more than 100 s. Brackets in quoted text are counted too; no
// valid name of a contract contains any.
func findExcessiveNesting(data []byte) int {
	brackets, indicators, line := 0, 0, 1
	for i, b := range data {
		switch b {
		case '[', '{':
			brackets++
		case ']', '}':
			brackets = max(0, brackets-1)
		case '&', '!':
			indicators++
		case '-', '?', ':':
			// A block list or key can nest within a line if whitespace follows.
			if i+1 < len(data) && (data[i+1] == ' ' || data[i+1] == '\t') && brackets == 0 {
				indicators++
			}
		case '\n':
			line++
			indicators = 0
		}
		if brackets > maxNesting || indicators > maxNesting {
			return line
		}
	}
	return 0
}

func locateSyntaxError(err error) (*token.Position, *core.Error) {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		return located.GetToken().Position, core.InvalidError("file", "", "YAML", "is not valid YAML: "+located.GetMessage())
	}
	return nil, core.InvalidError("file", "", "YAML", "is not valid YAML: "+err.Error())
}

func (d *decoder) decode(n ast.Node, path string, v reflect.Value) {
	if path != "" || d.positions[path] == nil {
		d.positions[path] = n.GetToken().Position
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, path, v)
	case reflect.Slice:
		d.decodeSlice(n, path, v)
	default:
		d.decodeScalar(n, path, v)
	}
}

func (d *decoder) decodeStruct(n ast.Node, path string, v reflect.Value) {
	var entries []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		entries = m.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{m}
	default:
		d.addWrongType(n, path, "fields: "+strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		name := entry.Key.GetToken().Value
		field := joinPath(path, name)
		at := entry.Key.GetToken().Position
		index, known := fieldIndex(v.Type(), name)
		if !known {
			d.addProblem(at, core.InvalidError(field, formatValue(entry.Value), "one of "+strings.Join(fieldNames(v.Type()), ", "), "is not a field of a contract"))
			continue
		}
		if seen[name] {
			d.addProblem(at, core.InvalidError(field, formatValue(entry.Value), "each field once", "is given twice"))
			continue
		}
		seen[name] = true
		d.decode(entry.Value, field, v.Field(index))
	}
}

func (d *decoder) decodeSlice(n ast.Node, path string, v reflect.Value) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addWrongType(n, path, "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		d.decode(item, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

func (d *decoder) decodeScalar(n ast.Node, path string, v reflect.Value) {
	if !isCompatible(n, v.Type()) {
		d.addWrongType(n, path, describeType(v.Type()))
		return
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		d.addWrongType(n, path, describeType(v.Type()))
		return
	}
	if v.Type() == reflect.TypeFor[core.Duration]() && v.IsZero() {
		d.addProblem(n.GetToken().Position, core.InvalidError(path, formatValue(n), "above 0, or leave the field out", "is out of range"))
	}
}

// isCompatible reports whether the node has the kind that the type requires. The
// library alone would convert quoted numbers, truncate 1.5 to 1 and ignore nulls.
func isCompatible(n ast.Node, t reflect.Type) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return t.Kind() == reflect.String || t == reflect.TypeFor[core.Duration]()
	case *ast.IntegerNode:
		return t.Kind() == reflect.Int || t.Kind() == reflect.Float64
	case *ast.FloatNode, *ast.NanNode, *ast.InfinityNode:
		return t.Kind() == reflect.Float64
	case *ast.BoolNode:
		return t.Kind() == reflect.Bool
	}
	return false
}

func (d *decoder) addWrongType(n ast.Node, path, allowed string) {
	field := path
	if field == "" {
		field = "file"
	}
	d.addProblem(n.GetToken().Position, core.InvalidError(field, formatValue(n), allowed, "has a value of the wrong type"))
}

func describeType(t reflect.Type) string {
	if t == reflect.TypeFor[core.Duration]() {
		return "a duration with its unit, such as 250ms, 5s or 2m"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "text"
	}
}

// formatValue returns the value as written, truncated to one short line.
func formatValue(n ast.Node) string {
	const maxShown = 60 // bytes
	text := strings.Join(strings.Fields(n.String()), " ")
	if len(text) > maxShown {
		text = strings.ToValidUTF8(text[:maxShown], "") + "..."
	}
	return text
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if yamlName(t.Field(i)) == name {
			return i, true
		}
	}
	return 0, false
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, yamlName(t.Field(i)))
	}
	return names
}
