// Package yamlcheck limits the nesting depth of YAML before it is parsed, and
// describes errors of the YAML decoder to the authors of a file.
package yamlcheck

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// maxDepth is far above what notes and settings need. The parser's time is
// quadratic in the depth: 100 KB of "[" took 19 s.
const maxDepth = 64

// CheckDepth rejects data that nests flow collections, or starts nested entries on
// one line, deeper than maxDepth. Nesting by indentation alone is not counted: its
// depth grows only with the square root of the size.
func CheckDepth(data []byte) error {
	flowDepth, entriesOnLine, line := 0, 0, 0
	for _, t := range lexer.Tokenize(string(data)) {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth = max(0, flowDepth-1)
		case token.SequenceEntryType, token.MappingKeyType:
			if t.Position.Line != line {
				entriesOnLine, line = 0, t.Position.Line
			}
			entriesOnLine++
		}
		if flowDepth > maxDepth || entriesOnLine > maxDepth {
			return fmt.Errorf("line %d, column %d: is nested deeper than %d", t.Position.Line, t.Position.Column, maxDepth)
		}
	}
	return nil
}
