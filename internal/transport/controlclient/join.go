package controlclient

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// joinInterval is how often a replica checks whether it is a member of the group.
	joinInterval = 400 * time.Millisecond
	// joinTimeout limits one join request.
	joinTimeout = time.Second
)

// KeepJoined sends join requests for a replica while two or more checks in a row find that it is
// not a member or knows no leader, until ctx ends. status returns the replica's own view.
func (c *Client) KeepJoined(ctx context.Context, status func() *wire.StatusResponse, logger *log.Logger) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	failedChecks := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s := status()
		if isConnectedMember(s) {
			failedChecks = 0
			continue
		}
		failedChecks++
		if failedChecks < 2 {
			continue
		}
		err := c.join(ctx, s)
		line := logger.Info().Str("event", "asks_to_join").Str("incarnation", s.Incarnation).Bool("blank", s.Blank)
		if err != nil {
			line = line.Str("error", err.Error())
		}
		line.Msg("")
	}
}

// isConnectedMember reports whether a replica is a member and knows a leader.
func isConnectedMember(s *wire.StatusResponse) bool {
	if s.Leader == "" {
		return false
	}
	for _, r := range s.Replicas {
		if r.Incarnation == s.Incarnation {
			return true
		}
	}
	return false
}

func (c *Client) join(ctx context.Context, s *wire.StatusResponse) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := call(ctx, c, patience, func(ctx context.Context, r wire.Control) (*wire.JoinResponse, error) {
		return r.Join(ctx, &wire.JoinRequest{Id: s.Id, Incarnation: s.Incarnation, Address: s.Address, FailureDomain: s.FailureDomain})
	})
	return err
}
