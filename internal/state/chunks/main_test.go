package chunks_test

import (
	"testing"

	"github.com/shedrock/shedrock/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Run(m, 0) }
