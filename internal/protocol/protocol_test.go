package protocol_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

// Guards against a number of layers or a range of another process that ends this one: by
// a panic, by an allocation of that size or by a loop of that length.
func TestOddLayerNumbers(t *testing.T) {
	all := []protocol.ServedLayers{{From: 0, To: 16, Version: 2}}
	for name, c := range map[string]struct {
		layers []protocol.ServedLayers
		total  int
		want   uint64
	}{
		"all layers":       {all, 16, 2},
		"one missing":      {all, 17, 0},
		"negative total":   {all, -1, 0},
		"lowest total":     {all, math.MinInt, 0},
		"no layers":        {all, 0, 0},
		"huge total":       {all, math.MaxInt, 0},
		"widest range":     {[]protocol.ServedLayers{{From: math.MinInt, To: math.MaxInt, Version: 2}}, 16, 2},
		"reversed range":   {[]protocol.ServedLayers{{From: 16, To: 0, Version: 2}}, 16, 0},
		"in parts":         {[]protocol.ServedLayers{{From: 8, To: 16, Version: 2}, {From: 0, To: 9, Version: 2}}, 16, 2},
		"gap":              {[]protocol.ServedLayers{{From: 9, To: 16, Version: 2}, {From: 0, To: 8, Version: 2}}, 16, 0},
		"of two versions":  {[]protocol.ServedLayers{{From: 0, To: 8, Version: 2}, {From: 8, To: 16, Version: 3}}, 16, 0},
		"highest version":  {[]protocol.ServedLayers{{From: 0, To: 1, Version: math.MaxUint64}, all[0]}, 16, 2},
		"no range at all":  {nil, 16, 0},
		"version zero":     {[]protocol.ServedLayers{{From: 0, To: 16}}, 16, 0},
		"total of huge To": {[]protocol.ServedLayers{{From: 0, To: math.MaxInt, Version: 1}}, math.MaxInt, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(protocol.NewestCompleteVersion(c.layers, c.total), c.want)
		})
	}
}
