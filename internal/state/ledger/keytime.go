package ledger

import (
	"encoding/hex"
	"strings"
	"time"
)

// KeyTime returns the timestamp of a key that is a UUID of version 7, which begins
// with the Unix time in milliseconds. Such a key is refused once it is older than the
// retention, so it needs no tombstone.
// Example: "0190163d-8694-739b-aea5-966c26f8ad91".
func KeyTime(key string) (t time.Time, ok bool) {
	const uuidLength = 36
	if len(key) != uuidLength || key[14] != '7' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(b) != 16 {
		return time.Time{}, false
	}
	var millis int64
	for _, digit := range b[:6] {
		millis = millis<<8 | int64(digit)
	}
	return time.UnixMilli(millis), true
}
