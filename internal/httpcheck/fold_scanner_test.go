package httpcheck

import "testing"

func TestFoldedLineOfAHeadIsFound(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n"
	for name, test := range map[string]struct {
		bytes  string
		folded bool
	}{
		"none":                {head + "\r\n", false},
		"none, LF":            {"HTTP/1.1 200 OK\nA: b\n\n x", false},
		"space":               {head + " C: d\r\n\r\n", true},
		"tab":                 {head + "\tC: d\r\n\r\n", true},
		"LF":                  {"HTTP/1.1 200 OK\nA: b\n C: d\n\n", true},
		"after the status":    {"HTTP/1.1 200 OK\r\n C: d\r\n\r\n", true},
		"only a space":        {head + " \r\n\r\n", true},
		"in the body":         {head + "\r\n x\r\n y", false},
		"in an interim head":  {"HTTP/1.1 103 Early Hints\r\nA: b\r\n C: d\r\n\r\n" + head + "\r\n", true},
		"after interim heads": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + head + " C: d\r\n\r\n", true},
		"body after interim":  {"HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n\r\n x", false},
	} {
		t.Run(name, func(t *testing.T) {
			var whole, single FoldScanner
			whole.Scan([]byte(test.bytes))
			for i := range len(test.bytes) {
				single.Scan([]byte{test.bytes[i]})
			}
			if whole.Folded() != test.folded || single.Folded() != test.folded {
				t.Errorf("folded: %v, byte by byte %v; want %v", whole.Folded(), single.Folded(), test.folded)
			}
		})
	}
}
