package controlclient

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// joinInterval is how often a replica looks whether it belongs to the group.
	joinInterval = 400 * time.Millisecond
	// joinTimeout bounds one wish to join.
	joinTimeout = time.Second
)

// KeepJoined asks the group to take a replica in whenever it is not a member or hears no
// leader, until ctx ends. status returns the replica's own view.
func (c *Client) KeepJoined(ctx context.Context, status func() *wire.StatusResponse, logger *log.Logger) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	alone := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s := status()
		if belongs(s) {
			alone = 0
			continue
		}
		alone++
		if alone < 2 {
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

// belongs reports whether a replica is a member that hears a leader.
func belongs(s *wire.StatusResponse) bool {
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
	return c.call(ctx, func(ctx context.Context, r wire.Control) error {
		_, err := r.Join(ctx, &wire.JoinRequest{Id: s.Id, Incarnation: s.Incarnation, Address: s.Address, FailureDomain: s.FailureDomain})
		return err
	})
}
