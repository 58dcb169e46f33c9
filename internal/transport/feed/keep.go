package feed

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/disk"
)

// stateFile is the name of the file in an entry's data directory.
const stateFile = "declared"

const dirPerm = 0o700

// StoreIn returns a function that stores a declared state durably in a directory.
func StoreIn(dir string) func(*declared.State) error {
	return func(s *declared.State) error {
		b, err := s.Marshal()
		if err != nil {
			return err
		}
		err = os.MkdirAll(dir, dirPerm)
		if err != nil {
			return errors.Wrap(err, "create the data directory")
		}
		return disk.WriteFileAtomic(filepath.Join(dir, stateFile), b)
	}
}

// LoadStored returns the declared state stored in a directory, or an empty one if there is
// none.
func LoadStored(dir string) (*declared.State, error) {
	b, err := os.ReadFile(filepath.Join(dir, stateFile))
	if os.IsNotExist(err) {
		return declared.New(), nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the stored declared state")
	}
	return declared.Unmarshal(b)
}
