package settings

import "strconv"

func quote(text string) string { return strconv.Quote(text) }
