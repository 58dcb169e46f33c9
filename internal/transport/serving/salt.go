package serving

import (
	"strconv"

	"github.com/shedrock/shedrock/internal/state/deployment"
)

// salt separates kept context: of weight versions, and of teams that share nothing. A
// shared salt cannot be an isolated team's, whatever that team is called.
func salt(team deployment.Team, weights uint64) string {
	version := strconv.FormatUint(weights, 10)
	if team.Isolated {
		return "v" + version + "-team-" + team.Name
	}
	return "v" + version + "-shared"
}
