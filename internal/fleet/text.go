package fleet

import "strings"

// CutText returns the text, or if it is longer than the given number of bytes, its beginning followed
// by an ellipsis. Errors and log records may quote what others wrote, at any length.
func CutText(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}
