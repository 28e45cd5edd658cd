package loadtable

import (
	"math/bits"
	"strconv"
)

// promptClass is a class of prompt sizes. Eight classes double the size, so that deciles can be
// found with few counts, and limits of deciles are off by an eighth at most. Class 0 holds the
// requests whose size isn't known.
type promptClass int

// classesPerOctaveBits is the binary logarithm of the number of classes per doubling.
const classesPerOctaveBits = 3

func classOf(tokens int) promptClass {
	if tokens <= 0 {
		return 0
	}
	shift := max(0, bits.Len(uint(tokens))-classesPerOctaveBits-1)
	return promptClass(shift<<classesPerOctaveBits + tokens>>shift)
}

func (c promptClass) text() string {
	if c == 0 {
		return missing
	}
	return strconv.Itoa(int(c))
}
