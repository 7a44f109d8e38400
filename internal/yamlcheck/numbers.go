package yamlcheck

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// FindLossyNumber returns the first number in n whose text changes when it is
// decoded as a string: an unquoted version 1.10 would become 1.1. It returns nil if
// there is none.
func FindLossyNumber(n ast.Node) *LossyNumber {
	f := &numberFinder{}
	ast.Walk(f, n)
	return f.found
}

// LossyNumber is a number whose text in the file differs from its decoded text.
type LossyNumber struct {
	Token *token.Token
	Field string // key of the number, if any
	read  string // decoded text
}

// Error implements error.
func (n *LossyNumber) Error() string {
	return fmt.Sprintf("%s would be read as %s: write it in quotes", n.Token.Value, n.read)
}

type numberFinder struct{ found *LossyNumber }

// Visit implements ast.Visitor.
func (f *numberFinder) Visit(n ast.Node) ast.Visitor {
	read := ""
	switch number := n.(type) {
	case *ast.IntegerNode:
		read = fmt.Sprint(number.Value)
	case *ast.FloatNode:
		read = strconv.FormatFloat(number.Value, 'f', -1, 64)
	default:
		return f
	}
	if t := n.GetToken(); f.found == nil && t.Value != read {
		f.found = &LossyNumber{Token: t, Field: keyOf(t), read: read}
	}
	return f
}
