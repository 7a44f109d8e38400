package raft

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an abandoned voter that lets too few others decide: some
// committed entry could be on none of them.
func TestVotersLeftDecideOnlyTogether(t *testing.T) {
	voters := []string{"a", "b", "c", "d"}
	cases := map[string]struct {
		abandoned []string
		agree     string
		want      bool
	}{
		"majority":                 {nil, "abc", true},
		"half":                     {nil, "ab", false},
		"two left, both":           {[]string{"c", "d"}, "ab", true},
		"two left, one":            {[]string{"c", "d"}, "a", false},
		"three left, two":          {[]string{"d"}, "ab", false},
		"three left, all":          {[]string{"d"}, "abc", true},
		"one left":                 {[]string{"b", "c", "d"}, "a", false},
		"abandoned among majority": {[]string{"d"}, "abd", true},
		"none left":                {[]string{"a", "b", "c", "d"}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := &Node{cfg: Config{ID: "x"}, abandoned: map[string]bool{}}
			for _, id := range c.abandoned {
				n.abandoned[id] = true
			}
			agrees := func(id string) bool {
				for _, r := range c.agree {
					if string(r) == id {
						return true
					}
				}
				return false
			}
			is.New(t).Equal(n.enough(voters, agrees), c.want)
		})
	}
}
