package manifest

import (
	"encoding/binary"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against tensor names that are not valid UTF-8. The JSON decoder
// replaces invalid bytes, so that different names look equal, and engines
// reject such files or read other names.
func TestSafetensorsNamesAreUTF8(t *testing.T) {
	file := func(name string) []byte {
		header := fmt.Sprintf(`{"%s":{"dtype":"U8","shape":[1],"data_offsets":[0,1]}}`, name)
		data := binary.LittleEndian.AppendUint64(nil, uint64(len(header)))
		return append(append(data, header...), 0)
	}
	for _, name := range []string{"layer.0", "", "größe", `gr\u00f6\u00dfe`, `\ud83d\ude00`, "\U0001F600"} {
		t.Run("accepts "+name, func(t *testing.T) {
			is.New(t).NoErr(check(file(name)))
		})
	}
	for _, name := range []string{"a\xff", "\xc3", "\xed\xa0\x80", "a\xc0\xaf", `a\ud800`, `\udc00`, `\ud83d\ud83d`} {
		t.Run(fmt.Sprintf("refuses %q", name), func(t *testing.T) {
			is.New(t).True(errors.Is(check(file(name)), ErrInvalidHeader))
		})
	}
}
