package yamlcheck

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// FindLossyNumber finds a number whose digits change when it is read as text: a
// version 1.10 without quotes would become 1.1. It returns nil for none.
func FindLossyNumber(n ast.Node) *LossyNumber {
	f := &numberFinder{}
	ast.Walk(f, n)
	return f.found
}

// LossyNumber is a number as it is written, and as it would be read.
type LossyNumber struct {
	Token *token.Token
	Field string // key beside it, if any
	read  string
}

// Error describes the number.
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
