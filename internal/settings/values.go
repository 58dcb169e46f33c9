package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a duration in a settings file: a number and its unit, such as "1.5s" or "250ms".
type Duration time.Duration

// units are the units of a Duration. "ms" precedes "s", which is a suffix of it.
var units = []struct {
	name string
	unit time.Duration
}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}}

// UnmarshalJSON parses a string of a number and a unit.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var written string
	err := json.Unmarshal(text, &written)
	if err != nil {
		return errors.Errorf("expected a time with its unit such as \"1.5s\" or \"250ms\", got %s", text)
	}
	for _, u := range units {
		number, ok := strings.CutSuffix(written, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(number, 64)
		value := n * float64(u.unit)
		if err != nil || !(math.Abs(value) < math.MaxInt64) {
			break
		}
		*d = Duration(value)
		return nil
	}
	return errors.Errorf("expected a time with its unit such as \"1.5s\" or \"250ms\", got %q", written)
}

// MarshalJSON formats the duration in milliseconds.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64) + "ms")
}

// Count is a whole number in a settings file, however it is written: 2 or 2.0.
type Count int

// UnmarshalJSON parses a number and rejects fractions.
func (c *Count) UnmarshalJSON(text []byte) error {
	n, err := strconv.ParseFloat(string(text), 64)
	if err != nil || n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		return errors.Errorf("expected a whole number, got %s", text)
	}
	*c = Count(n)
	return nil
}
