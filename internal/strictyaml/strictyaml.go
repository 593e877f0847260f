// Package strictyaml decodes hand-written YAML. It rejects unknown keys and
// constructs that can use far more memory or stack than their size suggests.
// Errors contain the line and the key.
package strictyaml

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits on the input. They prevent malicious input from using more memory or
// stack than its size suggests.
const (
	// maxFlowDepth is the maximum nesting depth of [ and {.
	maxFlowDepth = 16
	// maxColumn is the maximum column at which a block item or key may start. It
	// limits the nesting depth of blocks.
	maxColumn = 256
)

// Error is an error in the input.
type Error struct {
	// Line counts from 1; zero if it is unknown.
	Line int
	// Key is the path of the invalid value, for example "listen.callers". It is
	// empty if the error does not concern a single value.
	Key string
	// Problem describes the error.
	Problem string

	// token is the invalid scalar if the error comes from Text, otherwise nil.
	token *token.Token
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Problem)
}

// Lines holds the positions of the keys and list items of the input. The zero
// value contains none.
type Lines struct {
	lineOfPath map[string]int
	pathAt     map[position]string
}

// position is the start of a token; line and column count from 1.
type position struct{ line, column int }

// Line returns the line of path, counting from 1. If path is missing, it returns
// the line of its nearest ancestor, or zero if there is none.
func (l Lines) Line(path string) int {
	for path != "" {
		if n, ok := l.lineOfPath[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// pathOf returns the path whose key or value starts at t.
func (l Lines) pathOf(t *token.Token) string { return l.pathAt[positionOf(t)] }

// Decode decodes b, which may have at most maxBytes bytes, into out. It rejects
// aliases, anchors, tags, merge keys, explicit keys ("? key"), tabs in the
// indentation, unknown and duplicate keys, and more than one YAML document. The
// error is an *Error.
func Decode(b []byte, maxBytes int, out any) (Lines, error) {
	if len(b) > maxBytes {
		return Lines{}, &Error{Problem: fmt.Sprintf("%d bytes are too many, expected at most %d", len(b), maxBytes)}
	}
	if err := checkTabs(b); err != nil {
		return Lines{}, err
	}
	tokens := lexer.Tokenize(string(b))
	if err := checkTokens(tokens); err != nil {
		return Lines{}, err
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return Lines{}, decodeError(err, Lines{})
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return Lines{}, &Error{Problem: "empty input or several YAML documents, expected exactly one document"}
	}
	body := file.Docs[0].Body
	lines := Lines{lineOfPath: make(map[string]int), pathAt: make(map[position]string)}
	lines.collect(body, "")
	// The decoder gets the parsed node and an empty reader, so that it does not
	// parse the input again.
	dec := yaml.NewDecoder(strings.NewReader(""), yaml.Strict())
	if err := dec.DecodeFromNode(body, out); err != nil {
		return Lines{}, decodeError(err, lines)
	}
	return lines, nil
}

func checkTabs(b []byte) error {
	lineNumber := 0
	for line := range bytes.Lines(b) {
		lineNumber++
		text := bytes.TrimLeft(line, " ")
		if len(text) > 0 && text[0] == '\t' {
			return &Error{Line: lineNumber, Problem: "a tab stands in the indentation, expected spaces"}
		}
	}
	return nil
}

// checkTokens rejects unsupported constructs and deep nesting before the input
// reaches the recursive parser.
func checkTokens(tokens token.Tokens) error {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.MappingKeyType:
			return &Error{Line: lineOf(t), Problem: fmt.Sprintf("%s is not allowed, expected plain keys and values", t.Type)}
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType, token.MappingValueType:
			// Inside [ and { maxFlowDepth limits the depth, and lines may be long.
			if depth == 0 && positionOf(t).column > maxColumn {
				return &Error{Line: lineOf(t), Problem: "nested too deeply, expected less indentation"}
			}
		}
		if depth > maxFlowDepth {
			return &Error{Line: lineOf(t), Problem: "nested too deeply, expected fewer levels of [ and {"}
		}
	}
	return nil
}

func lineOf(t *token.Token) int { return positionOf(t).line }

func positionOf(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

func decodeError(err error, lines Lines) *Error {
	var textError *Error
	if errors.As(err, &textError) {
		return &Error{Line: textError.Line, Key: lines.pathOf(textError.token), Problem: textError.Problem}
	}
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		return &Error{Problem: joinLines(err.Error())}
	}
	t := yamlError.GetToken()
	return &Error{Line: lineOf(t), Key: lines.pathOf(t), Problem: joinLines(yamlError.GetMessage())}
}

func joinLines(s string) string {
	return strings.Join(strings.Fields(s), " ")
}

// collect records the positions of all keys and items below n.
func (l Lines) collect(n ast.Node, path string) {
	if n == nil {
		return
	}
	if path != "" {
		l.record(path, n.GetToken())
	}
	switch v := n.(type) {
	case *ast.MappingNode:
		for _, pair := range v.Values {
			l.collectPair(pair, path)
		}
	case *ast.MappingValueNode:
		l.collectPair(v, path)
	case *ast.SequenceNode:
		for i, item := range v.Values {
			l.collect(item, fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func (l Lines) collectPair(pair *ast.MappingValueNode, path string) {
	key := pair.Key.GetToken().Value
	if path != "" {
		key = path + "." + key
	}
	l.collect(pair.Value, key)
	l.record(key, pair.Key.GetToken())
}

func (l Lines) record(path string, t *token.Token) {
	l.lineOfPath[path] = lineOf(t)
	l.pathAt[positionOf(t)] = path
}

// Text decodes a scalar with out's UnmarshalText and adds the line to errors.
// Types with units call it from UnmarshalYAML.
func Text(n ast.Node, out encoding.TextUnmarshaler) error {
	err := out.UnmarshalText([]byte(n.GetToken().Value))
	if err == nil {
		return nil
	}
	return &Error{Line: lineOf(n.GetToken()), Problem: joinLines(err.Error()), token: n.GetToken()}
}
